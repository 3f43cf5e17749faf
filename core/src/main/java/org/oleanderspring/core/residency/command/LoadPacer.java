package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the rate at which loads from the weight store start, using a sliding window. */
final class LoadPacer {
    private static final Duration WINDOW = Duration.ofSeconds(5);

    /**
     * The share of the configured rate that is used, because a previous holder may have started
     * loads within the window.
     */
    private static final double SAFE_SHARE = 0.5;

    private final Deque<Instant> mBegun = new ArrayDeque<>();

    /** Returns whether another load may start now. */
    boolean allows(double loadsPerSecond, Instant now) {
        while (!mBegun.isEmpty() && mBegun.peekFirst().plus(WINDOW).isBefore(now)) {
            mBegun.removeFirst();
        }
        double limit = Math.max(1, loadsPerSecond * WINDOW.toSeconds() * SAFE_SHARE);
        return mBegun.size() < limit;
    }

    void began(Instant now) {
        mBegun.addLast(now);
    }
}
