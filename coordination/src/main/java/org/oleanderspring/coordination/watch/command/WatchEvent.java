package org.oleanderspring.coordination.watch.command;

import java.time.Duration;
import java.util.Objects;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.query.ChangesResult;
import org.oleanderspring.coordination.store.query.PageResult;

/** An input of the watches. */
public sealed interface WatchEvent {
    /**
     * A prefix is to be followed from now on.
     *
     * @param prefix the prefix
     */
    record PrefixFollowed(StoreKey prefix) implements WatchEvent {
        /** Rejects a null prefix. */
        public PrefixFollowed {
            Objects.requireNonNull(prefix, "prefix");
        }
    }

    /**
     * The call that reads a page ended.
     *
     * @param call the call
     * @param result its result
     */
    record PageReceived(StoreOperationId call, PageResult result) implements WatchEvent {
        /** Rejects null components. */
        public PageReceived {
            Objects.requireNonNull(call, "call");
            Objects.requireNonNull(result, "result");
        }
    }

    /**
     * A poll ended.
     *
     * @param call the poll
     * @param result its result
     */
    record ChangesReceived(StoreOperationId call, ChangesResult result) implements WatchEvent {
        /** Rejects null components. */
        public ChangesReceived {
            Objects.requireNonNull(call, "call");
            Objects.requireNonNull(result, "result");
        }
    }

    /**
     * The key-value service answered a call of another part of the daemon.
     *
     * @param era the era of the answer
     */
    record StoreAnswered(StoreEra era) implements WatchEvent {
        /** Rejects a null era. */
        public StoreAnswered {
            Objects.requireNonNull(era, "era");
        }

        /** Creates the report of an answer of a service that names no era. */
        public StoreAnswered() {
            this(StoreEra.UNKNOWN);
        }
    }

    /**
     * The key-value service did not answer a call of another part of the daemon, or turned it away.
     *
     * @param reason the cause, for log messages
     */
    record StoreFailed(String reason) implements WatchEvent {
        /** Rejects a null reason. */
        public StoreFailed {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Sets how long a watch waits after a batch of changes, and ends its present pause.
     *
     * @param prefix the followed prefix
     * @param pause the pause
     */
    record PauseChanged(StoreKey prefix, Duration pause) implements WatchEvent {
        /** Rejects null components. */
        public PauseChanged {
            Objects.requireNonNull(prefix, "prefix");
            Objects.requireNonNull(pause, "pause");
        }
    }

    /**
     * Another daemon has seen a change.
     *
     * @param prefix the followed prefix
     * @param revision the revision of the change
     */
    record ChangeReported(StoreKey prefix, Revision revision) implements WatchEvent {
        /** Rejects null components. */
        public ChangeReported {
            Objects.requireNonNull(prefix, "prefix");
            Objects.requireNonNull(revision, "revision");
        }
    }

    /**
     * The number of daemons that follow the key-value service.
     *
     * @param daemons their number, this daemon included
     */
    record DaemonsCounted(int daemons) implements WatchEvent {
        /** Rejects a number below 1. */
        public DaemonsCounted {
            if (daemons < 1) {
                throw new IllegalArgumentException("number of daemons: " + daemons);
            }
        }
    }

    /** The time named by {@link WatchDecider#nextWake} has come. */
    record TimerFired() implements WatchEvent {}
}
