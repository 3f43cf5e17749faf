package org.oleanderspring.coordination.store.query;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;

/** The result of a poll for changes of the values under a prefix. */
public sealed interface ChangesResult {
    /** Returns the era that the answer names, or null if there was no answer. */
    default @Nullable StoreEra answeredIn() {
        return null;
    }

    /**
     * The changes after the revision of the poll.
     *
     * @param changes the changes, the oldest first; empty if there was none within the wait
     * @param revision the revision after which the next poll starts
     */
    record Changes(List<StoreChange> changes, Revision revision) implements ChangesResult {
        /** Copies the list; rejects null components. */
        public Changes {
            changes = List.copyOf(changes);
            Objects.requireNonNull(revision, "revision");
        }

        @Override
        public StoreEra answeredIn() {
            return revision.era();
        }
    }

    /**
     * The key-value service no longer has the changes after the revision of the poll.
     *
     * @param era the era of the answer
     */
    record HistoryLost(StoreEra era) implements ChangesResult {
        /** Creates the answer of a service that names no era. */
        public HistoryLost() {
            this(StoreEra.UNKNOWN);
        }

        @Override
        public StoreEra answeredIn() {
            return era;
        }
    }

    /**
     * The key-value service could not be reached, did not answer in time or turned the call away.
     *
     * @param reason the cause, for log messages
     */
    record Unavailable(String reason) implements ChangesResult {}

    /**
     * The key-value service answered with something that cannot be read.
     *
     * @param reason the cause, for log messages
     */
    record Unreadable(String reason) implements ChangesResult {}
}
