package org.oleanderspring.bench.command;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.oleanderspring.bench.query.ColdStartResult;
import org.oleanderspring.bench.query.WaitPercentiles;

/** Counts the outcomes of a simulation. */
final class ColdStartTally {
    private static final int DIGITS = 3;
    private static final double MILLIS_PER_HOUR = 3.6e6;

    private final Histogram mColdWait = new Histogram(DIGITS);
    private final Histogram mAllWait = new Histogram(DIGITS);
    private final Map<String, Long> mRefused = new TreeMap<>();
    private long mOffered;
    private long mUseful;
    private long mCold;
    private long mStoreLoads;
    private double mIdleMillis;

    void offered(boolean isCold) {
        mOffered++;
        mCold += isCold ? 1 : 0;
    }

    void answered(long waitMillis, boolean isCold) {
        mUseful++;
        mAllWait.recordValue(waitMillis);
        if (isCold) {
            mColdWait.recordValue(waitMillis);
        }
    }

    void refused(String reason, long patienceMillis) {
        mRefused.merge(reason, 1L, Long::sum);
        mAllWait.recordValue(patienceMillis);
    }

    void loadedFromStore() {
        mStoreLoads++;
    }

    void idle(double acceleratorMillis) {
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
                mStoreLoads,
                mIdleMillis / MILLIS_PER_HOUR);
    }
}
