package org.oleanderspring.core.placement;

import java.time.Instant;

/** The estimate of when a model becomes ready for the calls that wait for it. */
public sealed interface Readiness {
    /**
     * The model is ready or will become ready.
     *
     * @param at the estimated time at which it is ready
     */
    record ReadyAt(Instant at) implements Readiness {}

    /**
     * The model cannot become ready in the current state of the cell.
     *
     * @param reason the reason
     */
    record NotPossible(UnreadyReason reason) implements Readiness {}
}
