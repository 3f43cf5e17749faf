package org.oleanderspring.coordination.dispatch.command;

import java.time.Instant;
import java.util.List;

/** Turns dispatch events into decisions; owns the dispatch records of one daemon's partitions. */
public interface DispatchDecider {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the current time; never goes back
     * @return what to do, in order
     */
    List<DispatchDecision> decide(DispatchEvent event, Instant now);
}
