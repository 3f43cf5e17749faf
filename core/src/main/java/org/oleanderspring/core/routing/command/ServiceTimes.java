package org.oleanderspring.core.routing.command;

import java.time.Duration;

/** Moving averages of how long calls of one target take. */
final class ServiceTimes {
    /** The weight of a new observation; about the last ten observations count. */
    private static final double WEIGHT = 0.2;

    /** A first token later than this misses the stated service level. */
    private static final Duration SLOW = Duration.ofMillis(1500);

    private static final int SLOW_FACTOR = 2;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private double mWholeNanos;
    private double mFirstByteNanos;

    /** Notes the time from the start of an attempt to its end. */
    void wholeObserved(Duration time) {
        mWholeNanos = average(mWholeNanos, nanos(time));
    }

    /** Notes the time from the start of an attempt to the first byte of its answer. */
    void firstByteObserved(Duration time) {
        mFirstByteNanos = average(mFirstByteNanos, nanos(time));
    }

    /** Notes that no byte came in the given time; raises the average if it is lower. */
    void firstByteMissed(Duration time) {
        if (nanos(time) > mFirstByteNanos) {
            firstByteObserved(time);
        }
    }

    /** Returns whether an attempt without a byte of its answer indicates a faulty endpoint. */
    boolean isSuspiciouslyLong(Duration time) {
        return nanos(time) >= Math.max(nanos(SLOW), SLOW_FACTOR * mFirstByteNanos);
    }

    Duration firstByte() {
        return Duration.ofNanos((long) mFirstByteNanos);
    }

    /**
     * Returns how long it takes until so many attempts have ended.
     *
     * @param ends how many ends to wait for
     * @param concurrency how many attempts run side by side
     */
    Duration untilEnds(int ends, int concurrency) {
        return Duration.ofNanos((long) (mWholeNanos * ends / concurrency));
    }

    private static double average(double old, double observed) {
        return old == 0 ? observed : old + WEIGHT * (observed - old);
    }

    private static double nanos(Duration time) {
        return (double) time.getSeconds() * NANOS_PER_SECOND + time.getNano();
    }
}
