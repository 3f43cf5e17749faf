package org.oleanderspring.coordination.store.query;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoredValue;

/** The result of a read. */
public sealed interface ReadResult {
    /** Returns the era that the answer names, or null if there was no answer. */
    default @Nullable StoreEra answeredIn() {
        return null;
    }

    /**
     * The values found, in the order of their keys; empty if there are none.
     *
     * @param values the values
     * @param era the era of the answer
     */
    record Found(List<StoredValue> values, StoreEra era) implements ReadResult {
        /** Copies the list; null is rejected. */
        public Found {
            values = List.copyOf(values);
            Objects.requireNonNull(era, "era");
        }

        /**
         * Creates the answer of a service that names no era.
         *
         * @param values the values
         */
        public Found(List<StoredValue> values) {
            this(values, StoreEra.UNKNOWN);
        }

        @Override
        public StoreEra answeredIn() {
            return era;
        }
    }

    /**
     * The key-value service could not be reached or did not reply in time.
     *
     * @param reason the cause, for log messages
     */
    record Unavailable(String reason) implements ReadResult {}
}
