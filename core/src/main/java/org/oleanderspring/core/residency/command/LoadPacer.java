package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Bounds how many loads from the weight store begin in a window of time. */
final class LoadPacer {
    private static final Duration WINDOW = Duration.ofSeconds(5);

    /** Room for loads that a holder before began within the window. */
    private static final double SAFE_SHARE = 0.5;

    private final Deque<Instant> mBegun = new ArrayDeque<>();

    /** Returns whether another load may begin. */
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
