package org.oleanderspring.core.routing.command;

import java.time.Duration;

/**
 * Exponential moving averages of the service times of one target. An average is zero until its
 * first sample.
 */
final class ServiceTimes {
    /** Weight of a new sample; about the last ten samples determine the average. */
    private static final double SAMPLE_WEIGHT = 0.2;

    /**
     * Time to first byte above which a response misses the service level objective for the first
     * token.
     */
    private static final Duration SLOW_FIRST_BYTE = Duration.ofMillis(1500);

    private static final int SLOW_FACTOR = 2;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private double mTotalNanos;
    private double mFirstByteNanos;

    /** Adds a sample of the time from the start of an attempt to its end. */
    void recordTotalTime(Duration time) {
        mTotalNanos = average(mTotalNanos, nanos(time));
    }

    /** Adds a sample of the time from the start of an attempt to the first byte of its response. */
    void recordFirstByte(Duration time) {
        mFirstByteNanos = average(mFirstByteNanos, nanos(time));
    }

    /**
     * Adds a sample for an attempt that got no byte within the given time, if this raises the
     * average.
     */
    void recordMissingFirstByte(Duration time) {
        if (nanos(time) > mFirstByteNanos) {
            recordFirstByte(time);
        }
    }

    /**
     * Returns whether an attempt without a byte of its response after this time indicates a faulty
     * endpoint: the time is at least {@link #SLOW_FIRST_BYTE} and at least {@link #SLOW_FACTOR}
     * times the average time to first byte.
     */
    boolean indicatesFault(Duration time) {
        return nanos(time) >= Math.max(nanos(SLOW_FIRST_BYTE), SLOW_FACTOR * mFirstByteNanos);
    }

    Duration total() {
        return Duration.ofNanos((long) mTotalNanos);
    }

    Duration firstByte() {
        return Duration.ofNanos((long) mFirstByteNanos);
    }

    /**
     * Estimates the time until a number of attempts have ended.
     *
     * @param attempts the number of attempts
     * @param concurrency the number of attempts that run in parallel; positive
     */
    Duration timeUntilEnded(int attempts, int concurrency) {
        return Duration.ofNanos((long) (mTotalNanos * attempts / concurrency));
    }

    private static double average(double old, double observed) {
        return old == 0 ? observed : old + SAMPLE_WEIGHT * (observed - old);
    }

    private static double nanos(Duration time) {
        return (double) time.getSeconds() * NANOS_PER_SECOND + time.getNano();
    }
}
