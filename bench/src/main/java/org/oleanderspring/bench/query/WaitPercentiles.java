package org.oleanderspring.bench.query;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of waits in milliseconds.
 *
 * @param p50 half of the waits are at most this
 * @param p95 95 in 100 waits are at most this
 * @param p99 99 in 100 waits are at most this
 */
public record WaitPercentiles(long p50, long p95, long p99) {
    /**
     * Returns the percentiles of a histogram.
     *
     * @param histogram waits in milliseconds
     */
    public static WaitPercentiles of(Histogram histogram) {
        return new WaitPercentiles(
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(95),
                histogram.getValueAtPercentile(99));
    }
}
