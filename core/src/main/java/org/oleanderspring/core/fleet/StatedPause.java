package org.oleanderspring.core.fleet;

import java.time.Duration;
import java.util.Objects;

/** What an endpoint that turned a call away says about the time for which it wants no others. */
public sealed interface StatedPause {
    /** The endpoint names no time. */
    record None() implements StatedPause {}

    /**
     * The endpoint wants no calls of this daemon for a time.
     *
     * @param time the time from the response on, from 0 to {@link #LONGEST}
     */
    record Paused(Duration time) implements StatedPause {
        /**
         * The longest time that is kept. Longer than any caller waits; a faulty value must not take
         * an endpoint out of service for good.
         */
        public static final Duration LONGEST = Duration.ofMinutes(5);

        /** Rejects a time out of range. */
        public Paused {
            Objects.requireNonNull(time, "time");
            if (time.isNegative() || time.compareTo(LONGEST) > 0) {
                throw new IllegalArgumentException("pause is out of range: " + time);
            }
        }
    }

    /**
     * The endpoint names something that is no time. It is treated as one that names none.
     *
     * @param text what it says, for the log
     */
    record Unreadable(String text) implements StatedPause {
        /** Rejects a null text. */
        public Unreadable {
            Objects.requireNonNull(text, "text");
        }
    }
}
