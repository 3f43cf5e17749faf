package org.oleanderspring.standin.weightstore;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** The running downloads and the recent starts; confined to the weight store's duty. */
public final class DownloadTracker {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final WeightStoreOptions mOptions;
    private final Set<Long> mModels = new HashSet<>();
    private final Set<Long> mAdapters = new HashSet<>();
    private final Deque<Long> mRecentStarts = new ArrayDeque<>();
    private long mLastPermit;
    private long mRefused;
    private int mPeakModels;
    private int mPeakAdapters;
    private long mSlowdownFactor = 1;

    /**
     * Creates the state without a download.
     *
     * @param options the limits
     */
    public DownloadTracker(WeightStoreOptions options) {
        mOptions = options;
    }

    /**
     * Returns whether a download may start now; the loads a second limit models only.
     *
     * @param adapter whether it is an adapter
     * @param nowNanos the monotonic time
     */
    public boolean tryAdmit(boolean adapter, long nowNanos) {
        if (adapter) {
            return true;
        }
        while (!mRecentStarts.isEmpty()
                && nowNanos - mRecentStarts.getFirst() >= NANOS_PER_SECOND) {
            mRecentStarts.removeFirst();
        }
        if (mRecentStarts.size() < mOptions.loadsPerSecond()) {
            return true;
        }
        mRefused++;
        return false;
    }

    /**
     * Starts a download.
     *
     * @param adapter whether it is an adapter
     * @param nowNanos the monotonic time
     * @return the number of its permit
     */
    public long start(boolean adapter, long nowNanos) {
        mLastPermit++;
        if (adapter) {
            mAdapters.add(mLastPermit);
            mPeakAdapters = Math.max(mPeakAdapters, mAdapters.size());
            return mLastPermit;
        }
        mRecentStarts.addLast(nowNanos);
        mModels.add(mLastPermit);
        mPeakModels = Math.max(mPeakModels, mModels.size());
        return mLastPermit;
    }

    /**
     * Ends a download.
     *
     * @param permit the number of its permit
     * @return whether it was running
     */
    public boolean end(long permit) {
        return mModels.remove(permit) || mAdapters.remove(permit);
    }

    /**
     * Returns by which factor a download takes longer than at full speed, in thousandths.
     *
     * @param adapter whether it is an adapter
     */
    public long slowdownPerMille(boolean adapter) {
        int running = adapter ? mAdapters.size() : mModels.size();
        int fullSpeed = adapter ? mOptions.fullSpeedAdapters() : mOptions.fullSpeedLoads();
        return mSlowdownFactor * Math.max(1_000L, 1_000L * running / fullSpeed);
    }

    /**
     * Makes all downloads slower.
     *
     * @param factor the factor; 1 for none
     */
    public void setSlowdown(long factor) {
        mSlowdownFactor = Math.max(1, factor);
    }

    /** Returns the number of refused downloads. */
    public long refused() {
        return mRefused;
    }

    /** Returns the highest number of models that were loading at a time. */
    public int peakModels() {
        return mPeakModels;
    }

    /** Returns the highest number of adapters that were loading at a time. */
    public int peakAdapters() {
        return mPeakAdapters;
    }

    /** Returns the number of downloads started so far. */
    public long started() {
        return mLastPermit;
    }
}
