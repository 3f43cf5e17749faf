package org.oleanderspring.coordination.store.command;

import java.time.Duration;
import org.oleanderspring.coordination.store.StoreLeaseId;

/** What became of a lease operation. */
public sealed interface StoreLeaseResult {
    /**
     * The lease is held for the given time from when the request was sent.
     *
     * @param lease the lease
     * @param timeToLive how long it is held without renewal
     */
    record Held(StoreLeaseId lease, Duration timeToLive) implements StoreLeaseResult {}

    /** The service does not know the lease: it lapsed or was revoked. */
    record Lapsed() implements StoreLeaseResult {}

    /**
     * The service could not be reached, or its reply was lost.
     *
     * @param reason why, for the log
     */
    record Unavailable(String reason) implements StoreLeaseResult {}
}
