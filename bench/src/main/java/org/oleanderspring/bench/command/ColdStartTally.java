package org.oleanderspring.bench.command;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.oleanderspring.bench.query.ColdStartResult;
import org.oleanderspring.bench.query.WaitPercentiles;

/** Collects the counts and waits of one cold-start run. */
final class ColdStartTally {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MILLIS_PER_HOUR = 3.6e6;

    private final Histogram mColdWait = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mAllWait = new Histogram(SIGNIFICANT_DIGITS);
    private final Map<String, Long> mRefused = new TreeMap<>();
    private long mOffered;
    private long mUseful;
    private long mCold;
    private long mRemoteLoads;
    private double mIdleMillis;

    void recordOffered(boolean isCold) {
        mOffered++;
        mCold += isCold ? 1 : 0;
    }

    /** Records a call whose answer has begun before the deadline. */
    void recordAnswered(long waitMillis, boolean isCold) {
        mUseful++;
        mAllWait.recordValue(waitMillis);
        if (isCold) {
            mColdWait.recordValue(waitMillis);
        }
    }

    /** Records a refusal; the call counts among all waits with its whole caller timeout. */
    void recordRefused(String reason, long callerTimeoutMillis) {
        mRefused.merge(reason, 1L, Long::sum);
        mAllWait.recordValue(callerTimeoutMillis);
    }

    void recordRemoteLoad() {
        mRemoteLoads++;
    }

    /** Adds accelerator milliseconds during which loaded models ran no call. */
    void addIdleMillis(double acceleratorMillis) {
        mIdleMillis += acceleratorMillis;
    }

    ColdStartResult result(String policy) {
        return new ColdStartResult(
                policy,
                mOffered,
                mUseful,
                mCold,
                WaitPercentiles.of(mColdWait),
                WaitPercentiles.of(mAllWait),
                mRefused,
                mRemoteLoads,
                mIdleMillis / MILLIS_PER_HOUR);
    }
}
