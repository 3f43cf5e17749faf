package org.oleanderspring.coordination.dispatch.command;

import java.time.Instant;
import java.util.List;

/**
 * A state machine for the dispatch records of one daemon's partitions: turns events into decisions.
 * Not thread-safe; a single thread owns it.
 */
public interface DispatchDecider {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the current time of a monotonic clock of this daemon, which must have started at
     *     the wall-clock time: record times are stored and compared by other daemons
     * @return the actions to execute, in order
     */
    List<DispatchDecision> decide(DispatchEvent event, Instant now);
}
