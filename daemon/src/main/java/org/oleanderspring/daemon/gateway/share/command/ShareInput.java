package org.oleanderspring.daemon.gateway.share.command;

import java.time.Instant;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.share.RateKey;
import org.oleanderspring.core.share.ShareRequest;
import org.oleanderspring.daemon.gateway.StoreUpdate;

/** An event in the ring of the duty that issues shared rates. */
public sealed interface ShareInput {
    /**
     * A daemon asks for a part of a rate.
     *
     * @param daemon the daemon
     * @param request the request
     */
    record Requested(MemberId daemon, ShareRequest request) implements ShareInput {}

    /**
     * The first issuer of a rate asks for a confirmation.
     *
     * @param daemon the first issuer
     * @param key the rate
     * @param askedAt the time by its clock
     */
    record ConfirmationRequested(MemberId daemon, RateKey key, Instant askedAt)
            implements ShareInput {}

    /**
     * The second issuer of a rate confirms.
     *
     * @param key the rate
     * @param askedAt when it was asked
     */
    record Confirmed(RateKey key, Instant askedAt) implements ShareInput {}

    /**
     * An update from the platform's key-value service arrived.
     *
     * @param update the update
     */
    record StoreChanged(StoreUpdate update) implements ShareInput {}

    /** Time has passed. */
    record TimerFired() implements ShareInput {}
}
