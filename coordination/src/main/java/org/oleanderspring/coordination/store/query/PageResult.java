package org.oleanderspring.coordination.store.query;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoredValue;

/** The result of reading one page of the values under a prefix. */
public sealed interface PageResult {
    /** Returns the era that the answer names, or null if there was no answer. */
    default @Nullable StoreEra answeredIn() {
        return null;
    }

    /**
     * One page.
     *
     * @param values the values, in the order of their keys
     * @param hasMore whether more pages follow
     * @param revision the revision of the key-value service when the page was read
     */
    record Page(List<StoredValue> values, boolean hasMore, Revision revision)
            implements PageResult {
        /** Copies the list; rejects null components. */
        public Page {
            values = List.copyOf(values);
            Objects.requireNonNull(revision, "revision");
        }

        @Override
        public StoreEra answeredIn() {
            return revision.era();
        }
    }

    /**
     * The key-value service could not be reached, did not answer in time or turned the call away.
     *
     * @param reason the cause, for log messages
     */
    record Unavailable(String reason) implements PageResult {}

    /**
     * The key-value service answered with something that cannot be read.
     *
     * @param reason the cause, for log messages
     */
    record Unreadable(String reason) implements PageResult {}
}
