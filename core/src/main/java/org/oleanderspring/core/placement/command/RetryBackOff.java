package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.oleanderspring.core.placement.SlotKey;

/** Delays new orders for a runner and model after a failed order, with exponential back-off. */
final class RetryBackOff {
    private static final Duration INITIAL_PAUSE = Duration.ofSeconds(5);
    private static final Duration MAX_PAUSE = Duration.ofMinutes(5);

    /** Includes pauses that have ended, because a further failure doubles their length. */
    private final Map<SlotKey, Pause> mPauses = new HashMap<>();

    /** Records a failed order and starts a pause. */
    void failed(SlotKey key, Instant now) {
        Pause last = mPauses.get(key);
        Duration length =
                last == null ? INITIAL_PAUSE : shorter(last.length().multipliedBy(2), MAX_PAUSE);
        mPauses.put(key, new Pause(now.plus(length), length));
    }

    /** Records an order that took effect, which resets the back-off. */
    void succeeded(SlotKey key) {
        mPauses.remove(key);
    }

    /** Returns whether orders for a runner and model are paused. */
    boolean isPaused(SlotKey key, Instant now) {
        Pause pause = mPauses.get(key);
        return pause != null && now.isBefore(pause.until());
    }

    /** Discards pauses that ended longer ago than the maximum pause. */
    void expire(Instant now) {
        mPauses.values().removeIf(pause -> pause.until().plus(MAX_PAUSE).isBefore(now));
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private record Pause(Instant until, Duration length) {}
}
