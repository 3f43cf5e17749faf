package org.oleanderspring.daemon.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.StoreChange;

/** An update from the watch on one key prefix of the key-value service. */
public sealed interface StoreUpdate {
    /** Returns the watched prefix. */
    StoreKey prefix();

    /**
     * A complete list of the values, which replaces those known before.
     *
     * @param prefix the watched prefix
     * @param values all values below the prefix
     */
    record Listed(StoreKey prefix, List<StoredValue> values) implements StoreUpdate {
        /** Copies the list; rejects null components. */
        public Listed {
            Objects.requireNonNull(prefix, "prefix");
            values = List.copyOf(values);
        }
    }

    /**
     * Values below the prefix were written or removed.
     *
     * @param prefix the watched prefix
     * @param changes the changes, oldest first
     */
    record Changed(StoreKey prefix, List<StoreChange> changes) implements StoreUpdate {
        /** Copies the list; rejects null components. */
        public Changed {
            Objects.requireNonNull(prefix, "prefix");
            changes = List.copyOf(changes);
        }
    }

    /**
     * The key-value service stopped responding; the values known so far may become outdated.
     *
     * @param prefix the watched prefix
     * @param reason the cause, for the log
     */
    record Interrupted(StoreKey prefix, String reason) implements StoreUpdate {
        /** Rejects null components. */
        public Interrupted {
            Objects.requireNonNull(prefix, "prefix");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The key-value service has come back from a copy that may lack recent changes; its values
     * follow.
     *
     * @param prefix the watched prefix
     * @param era the era of the service from now on
     */
    record Restored(StoreKey prefix, StoreEra era) implements StoreUpdate {
        /** Rejects null components. */
        public Restored {
            Objects.requireNonNull(prefix, "prefix");
            Objects.requireNonNull(era, "era");
        }
    }

    /**
     * The key-value service responds again; the changes during the interruption follow.
     *
     * @param prefix the watched prefix
     * @param outdatedFor the time for which the values may have been outdated
     */
    record Resumed(StoreKey prefix, Duration outdatedFor) implements StoreUpdate {
        /** Rejects null components. */
        public Resumed {
            Objects.requireNonNull(prefix, "prefix");
            Objects.requireNonNull(outdatedFor, "outdatedFor");
        }
    }
}
