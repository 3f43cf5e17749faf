package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.oleanderspring.core.placement.SlotKey;

/** Delays new orders for a runner and model after failed ones, longer with each failure. */
final class RetryBackOff {
    private static final Duration FIRST = Duration.ofSeconds(5);
    private static final Duration LONGEST = Duration.ofMinutes(5);

    private final Map<SlotKey, Pause> mPauses = new HashMap<>();

    /** Notes a failed order. */
    void failed(SlotKey key, Instant now) {
        Pause last = mPauses.get(key);
        Duration length = last == null ? FIRST : shorter(last.length().multipliedBy(2), LONGEST);
        mPauses.put(key, new Pause(now.plus(length), length));
    }

    /** Notes an order that had its effect. */
    void succeeded(SlotKey key) {
        mPauses.remove(key);
    }

    /** Returns whether the pair has to wait. */
    boolean isPaused(SlotKey key, Instant now) {
        Pause pause = mPauses.get(key);
        return pause != null && now.isBefore(pause.until());
    }

    /** Forgets the pauses that ended long ago. */
    void expire(Instant now) {
        mPauses.values().removeIf(pause -> pause.until().plus(LONGEST).isBefore(now));
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private record Pause(Instant until, Duration length) {}
}
