package org.oleanderspring.coordination.watch.command;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** Decides on the calls that follow key prefixes. Used by the thread that owns the watches. */
public interface WatchDecider {
    /**
     * Applies an event.
     *
     * @param event the event
     * @param now the current time
     * @return the resulting actions, in order
     */
    List<WatchDecision> decide(WatchEvent event, Instant now);

    /** Returns when {@link WatchEvent.TimerFired} is due, or empty if only an answer can follow. */
    Optional<Instant> nextWake();
}
