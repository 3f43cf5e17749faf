package org.oleanderspring.core.placement;

import java.time.Instant;

/** When a woken model becomes ready, as far as placement can tell. */
public sealed interface Readiness {
    /**
     * It is or becomes ready.
     *
     * @param at the estimated time
     */
    record ReadyAt(Instant at) implements Readiness {}

    /**
     * It does not become ready as things stand.
     *
     * @param reason why
     */
    record NotPossible(UnreadyReason reason) implements Readiness {}
}
