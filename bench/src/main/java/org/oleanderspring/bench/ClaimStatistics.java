package org.oleanderspring.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Counts how claims were settled and how long that took. */
final class ClaimStatistics {
    private static final long HIGHEST_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000.0;

    private final Map<Long, Instant> mArrivals = new HashMap<>();
    private final Histogram mMicros = new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS);
    private long mRefused;

    void arrived(long number, Instant now) {
        mArrivals.put(number, now);
    }

    void settled(long number, boolean claimed, Instant now) {
        Instant arrival = mArrivals.remove(number);
        if (arrival == null) {
            return;
        }
        if (!claimed) {
            mRefused++;
            return;
        }
        mMicros.recordValue(Duration.between(arrival, now).toNanos() / 1_000);
    }

    long claimed() {
        return mMicros.getTotalCount();
    }

    long refused() {
        return mRefused;
    }

    double millisAt(double percentile) {
        return mMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
