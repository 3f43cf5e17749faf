package org.oleanderspring.coordination.store.query;

import java.util.List;
import org.oleanderspring.coordination.store.StoredValue;

/** The result of a read. */
public sealed interface ReadResult {
    /**
     * The values found, in the order of their keys; empty if there are none.
     *
     * @param values the values
     */
    record Found(List<StoredValue> values) implements ReadResult {
        /** Copies the list; a null list or value is rejected. */
        public Found {
            values = List.copyOf(values);
        }
    }

    /**
     * The key-value service could not be reached or did not reply in time.
     *
     * @param reason the cause, for log messages
     */
    record Unavailable(String reason) implements ReadResult {}
}
