package org.oleanderspring.coordination.store.command;

import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoredValue;

/** The result of a {@link CompareAndSwap}. */
public sealed interface WriteResult {
    /** Returns the era that the answer names, or null if there was no answer. */
    default @Nullable StoreEra answeredIn() {
        return null;
    }

    /**
     * The value was written.
     *
     * @param revision the key's new revision
     */
    record Written(Revision revision) implements WriteResult {
        @Override
        public StoreEra answeredIn() {
            return revision.era();
        }
    }

    /**
     * The key had another revision than expected; nothing was written.
     *
     * @param current the value found, or null if the key does not exist
     * @param era the era of the answer
     */
    record Conflict(@Nullable StoredValue current, StoreEra era) implements WriteResult {
        /**
         * Creates the answer of a service that names no era.
         *
         * @param current the value found, or null if the key does not exist
         */
        public Conflict(@Nullable StoredValue current) {
            this(current, StoreEra.UNKNOWN);
        }

        @Override
        public StoreEra answeredIn() {
            return era;
        }
    }

    /**
     * The request did not reach the key-value service or was rejected by it; nothing was written.
     *
     * @param reason the cause, for log messages
     */
    record Unavailable(String reason) implements WriteResult {}

    /**
     * No reply arrived; the write may have taken effect, or may still do so.
     *
     * @param reason the cause, for log messages
     */
    record Unknown(String reason) implements WriteResult {}
}
