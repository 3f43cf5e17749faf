package org.oleanderspring.coordination.store.command;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreLeaseId;

/** The result of a lease operation of the key-value service. */
public sealed interface StoreLeaseResult {
    /** Returns the era that the answer names, or null if there was no answer. */
    default @Nullable StoreEra answeredIn() {
        return null;
    }

    /**
     * The lease was granted or renewed; it is held for the time to live, counted from when the
     * request was sent.
     *
     * @param lease the lease
     * @param timeToLive how long it is held without renewal
     * @param era the era of the answer
     */
    record Held(StoreLeaseId lease, Duration timeToLive, StoreEra era) implements StoreLeaseResult {
        /**
         * Creates the answer of a service that names no era.
         *
         * @param lease the lease
         * @param timeToLive how long it is held without renewal
         */
        public Held(StoreLeaseId lease, Duration timeToLive) {
            this(lease, timeToLive, StoreEra.UNKNOWN);
        }

        @Override
        public StoreEra answeredIn() {
            return era;
        }
    }

    /**
     * The key-value service does not have the lease: it expired or was revoked.
     *
     * @param era the era of the answer
     */
    record Lapsed(StoreEra era) implements StoreLeaseResult {
        /** Creates the answer of a service that names no era. */
        public Lapsed() {
            this(StoreEra.UNKNOWN);
        }

        @Override
        public StoreEra answeredIn() {
            return era;
        }
    }

    /**
     * The key-value service could not be reached, or its reply was lost.
     *
     * @param reason the cause, for log messages
     */
    record Unavailable(String reason) implements StoreLeaseResult {}
}
