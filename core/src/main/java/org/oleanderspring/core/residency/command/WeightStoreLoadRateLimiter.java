package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the rate at which loads from the weight store start, using a sliding window. */
final class WeightStoreLoadRateLimiter {
    private static final Duration WINDOW = Duration.ofSeconds(5);

    /**
     * The share of the configured rate that is used. The previous holder of the placement lease may
     * have started loads within the window that are not counted here. If each holder uses half of
     * the rate, both together stay within it, apart from the one load per window that is always
     * allowed.
     */
    private static final double RATE_SHARE = 0.5;

    private final Deque<Instant> mStarts = new ArrayDeque<>();

    /** Returns whether another load may start now. At least one per window is allowed. */
    boolean allows(double loadsPerSecond, Instant now) {
        while (!mStarts.isEmpty() && mStarts.peekFirst().plus(WINDOW).isBefore(now)) {
            mStarts.removeFirst();
        }
        double limit = Math.max(1, loadsPerSecond * WINDOW.toSeconds() * RATE_SHARE);
        return mStarts.size() < limit;
    }

    void loadStarted(Instant now) {
        mStarts.addLast(now);
    }
}
