package org.oleanderspring.duty.query;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * The work of a duty in one period.
 *
 * @param period the length of the period
 * @param events the number of events that were handled
 * @param busy the time for which events were handled
 * @param longestWait the longest time for which an event waited in the ring
 * @param kinds the work for each kind of event, the most expensive first
 */
public record DutyLoad(
        Duration period, long events, Duration busy, Duration longestWait, List<Kind> kinds) {
    /** Copies the list. */
    public DutyLoad {
        Objects.requireNonNull(period, "period");
        Objects.requireNonNull(busy, "busy");
        Objects.requireNonNull(longestWait, "longestWait");
        kinds = List.copyOf(kinds);
    }

    /**
     * The work for the events of one kind.
     *
     * @param name the name of the kind
     * @param events the number of events that were handled
     * @param busy the time for which they were handled
     * @param longest the longest time for which one of them was handled
     */
    public record Kind(String name, long events, Duration busy, Duration longest) {
        /** Rejects null components. */
        public Kind {
            Objects.requireNonNull(name, "name");
            Objects.requireNonNull(busy, "busy");
            Objects.requireNonNull(longest, "longest");
        }
    }
}
