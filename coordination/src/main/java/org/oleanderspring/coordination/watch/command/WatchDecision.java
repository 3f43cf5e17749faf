package org.oleanderspring.coordination.watch.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.StoreChange;

/** An action decided by the watches. */
public sealed interface WatchDecision {
    /**
     * Read a page.
     *
     * @param call the identity of the call
     * @param prefix the prefix
     * @param after the last key of the previous page, or null for the first page
     * @param limit how long to wait for the answer
     */
    record ReadPage(
            StoreOperationId call, StoreKey prefix, @Nullable StoreKey after, Duration limit)
            implements WatchDecision {}

    /**
     * Poll for changes.
     *
     * @param call the identity of the call
     * @param prefix the prefix
     * @param after the revision after which changes are reported
     * @param longestWait how long the service may delay its answer
     * @param limit how long to wait for the answer, including {@code longestWait}
     */
    record Poll(
            StoreOperationId call,
            StoreKey prefix,
            Revision after,
            Duration longestWait,
            Duration limit)
            implements WatchDecision {}

    /**
     * Pass on a complete list of the values under a prefix.
     *
     * @param prefix the prefix
     * @param values the values, which replace those known before
     */
    record PublishValues(StoreKey prefix, List<StoredValue> values) implements WatchDecision {
        /** Copies the list; rejects null components. */
        public PublishValues {
            Objects.requireNonNull(prefix, "prefix");
            values = List.copyOf(values);
        }
    }

    /**
     * Pass on changes of the values under a prefix.
     *
     * @param prefix the prefix
     * @param changes the changes, the oldest first
     */
    record PublishChanges(StoreKey prefix, List<StoreChange> changes) implements WatchDecision {
        /** Copies the list; rejects null components. */
        public PublishChanges {
            Objects.requireNonNull(prefix, "prefix");
            changes = List.copyOf(changes);
        }
    }

    /**
     * Report that the values may become outdated.
     *
     * @param prefix the prefix
     * @param reason the cause, for log messages
     */
    record ReportInterruption(StoreKey prefix, String reason) implements WatchDecision {}

    /**
     * Report that the key-value service has come back from a copy; its values come next.
     *
     * @param prefix the prefix
     * @param era the era of the service from now on
     */
    record ReportRestoration(StoreKey prefix, StoreEra era) implements WatchDecision {}

    /**
     * Report that the values are followed again; the changes meanwhile come next.
     *
     * @param prefix the prefix
     * @param outdatedFor the time since the last answer to this watch
     */
    record ReportResumption(StoreKey prefix, Duration outdatedFor) implements WatchDecision {}

    /**
     * Report that all changes up to a time have been passed on.
     *
     * @param prefix the prefix
     * @param provenAt that time
     */
    record ReportConfirmation(StoreKey prefix, Instant provenAt) implements WatchDecision {}
}
