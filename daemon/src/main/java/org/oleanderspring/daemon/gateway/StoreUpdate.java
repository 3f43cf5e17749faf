package org.oleanderspring.daemon.gateway;

import java.util.List;
import java.util.Objects;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.StoreChange;

/** What was seen of the values below one prefix of the store. */
public sealed interface StoreUpdate {
    /** Returns the prefix. */
    StoreKey prefix();

    /**
     * All present values.
     *
     * @param prefix the prefix
     * @param values the values
     */
    record Listed(StoreKey prefix, List<StoredValue> values) implements StoreUpdate {
        /** Copies the list. */
        public Listed {
            Objects.requireNonNull(prefix, "prefix");
            values = List.copyOf(values);
        }
    }

    /**
     * Values changed.
     *
     * @param prefix the prefix
     * @param changes the changes, the oldest first
     */
    record Changed(StoreKey prefix, List<StoreChange> changes) implements StoreUpdate {
        /** Copies the list. */
        public Changed {
            Objects.requireNonNull(prefix, "prefix");
            changes = List.copyOf(changes);
        }
    }

    /**
     * The store does not answer.
     *
     * @param prefix the prefix
     * @param reason why, for the log
     */
    record Interrupted(StoreKey prefix, String reason) implements StoreUpdate {
        /** Checks for missing parts. */
        public Interrupted {
            Objects.requireNonNull(prefix, "prefix");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The store answers again.
     *
     * @param prefix the prefix
     */
    record Resumed(StoreKey prefix) implements StoreUpdate {
        /** Checks for a missing prefix. */
        public Resumed {
            Objects.requireNonNull(prefix, "prefix");
        }
    }
}
