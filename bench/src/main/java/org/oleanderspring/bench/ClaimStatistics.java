package org.oleanderspring.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Counts confirmed and refused claims and records the latency of the confirmed ones in virtual
 * time. Claims are identified by the number of their call.
 */
final class ClaimStatistics {
    /** The highest latency that the histogram can record. */
    private static final long MAX_RECORDABLE_MICROS = 60_000_000;

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000.0;

    private final Map<Long, Instant> mArrivals = new HashMap<>();
    private final Histogram mClaimMicros = new Histogram(MAX_RECORDABLE_MICROS, SIGNIFICANT_DIGITS);
    private long mRefused;

    /** Records the arrival time, from which the latency of the claim is counted. */
    void recordArrival(long call, Instant now) {
        mArrivals.put(call, now);
    }

    /** Records the result of a claim; ignores a call whose result is recorded already. */
    void recordSettled(long call, boolean claimed, Instant now) {
        Instant arrival = mArrivals.remove(call);
        if (arrival == null) {
            return;
        }
        if (!claimed) {
            mRefused++;
            return;
        }
        mClaimMicros.recordValue(Duration.between(arrival, now).toNanos() / 1_000);
    }

    long claimed() {
        return mClaimMicros.getTotalCount();
    }

    long refused() {
        return mRefused;
    }

    /** Returns the latency of confirmed claims at a percentile from 0 to 100. */
    double millisAt(double percentile) {
        return mClaimMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
