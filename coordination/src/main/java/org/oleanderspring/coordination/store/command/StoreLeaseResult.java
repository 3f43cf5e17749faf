package org.oleanderspring.coordination.store.command;

import java.time.Duration;
import org.oleanderspring.coordination.store.StoreLeaseId;

/** The result of a lease operation of the key-value service. */
public sealed interface StoreLeaseResult {
    /**
     * The lease was granted or renewed; it is held for the time to live, counted from when the
     * request was sent.
     *
     * @param lease the lease
     * @param timeToLive how long it is held without renewal
     */
    record Held(StoreLeaseId lease, Duration timeToLive) implements StoreLeaseResult {}

    /** The key-value service does not have the lease: it expired or was revoked. */
    record Lapsed() implements StoreLeaseResult {}

    /**
     * The key-value service could not be reached, or its reply was lost.
     *
     * @param reason the cause, for log messages
     */
    record Unavailable(String reason) implements StoreLeaseResult {}
}
