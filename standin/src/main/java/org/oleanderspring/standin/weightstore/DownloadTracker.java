package org.oleanderspring.standin.weightstore;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Tracks the running downloads and the starts within the last second; used on the weight store's
 * state thread only.
 *
 * <p>The number of starts per second is limited for models only. The number of concurrent downloads
 * is not limited, but above the limit for full speed a new download takes longer, in proportion to
 * the number of running ones. Downloads that are running already keep their speed.
 */
public final class DownloadTracker {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final WeightStoreOptions mOptions;
    private final Set<Long> mModelPermits = new HashSet<>();
    private final Set<Long> mAdapterPermits = new HashSet<>();
    private final Deque<Long> mRecentStarts = new ArrayDeque<>();
    private long mLastPermit;
    private long mRefused;
    private int mPeakModels;
    private int mPeakAdapters;
    private long mSlowdownFactor = 1;

    /**
     * Creates a tracker without downloads.
     *
     * @param options the limits
     */
    public DownloadTracker(WeightStoreOptions options) {
        mOptions = options;
    }

    /**
     * Returns whether a download may start now, and counts a refusal. An adapter is always
     * admitted.
     *
     * @param adapter whether the checkpoint is an adapter
     * @param nowNanos the current time of {@link System#nanoTime()}
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
     * Starts a download without checking the limit; {@link #tryAdmit} has to be called before.
     *
     * @param adapter whether the checkpoint is an adapter
     * @param nowNanos the current time of {@link System#nanoTime()}
     * @return the permit number, at least 1
     */
    public long start(boolean adapter, long nowNanos) {
        mLastPermit++;
        if (adapter) {
            mAdapterPermits.add(mLastPermit);
            mPeakAdapters = Math.max(mPeakAdapters, mAdapterPermits.size());
            return mLastPermit;
        }
        mRecentStarts.addLast(nowNanos);
        mModelPermits.add(mLastPermit);
        mPeakModels = Math.max(mPeakModels, mModelPermits.size());
        return mLastPermit;
    }

    /**
     * Ends a download.
     *
     * @param permit the permit number
     * @return whether the download was running
     */
    public boolean end(long permit) {
        return mModelPermits.remove(permit) || mAdapterPermits.remove(permit);
    }

    /**
     * Returns the factor by which a download takes longer than at full speed, in thousandths. It
     * grows with the number of running downloads above the limit for full speed, which includes the
     * download itself once it has started, and contains the injected slowdown.
     *
     * @param adapter whether the checkpoint is an adapter
     */
    public long slowdownPerMille(boolean adapter) {
        int running = adapter ? mAdapterPermits.size() : mModelPermits.size();
        int fullSpeed = adapter ? mOptions.fullSpeedAdapters() : mOptions.fullSpeedLoads();
        return mSlowdownFactor * Math.max(1_000L, 1_000L * running / fullSpeed);
    }

    /**
     * Injects a slowdown of the downloads that start from now on.
     *
     * @param factor the factor on the download time; below 1 counts as 1, which is no slowdown
     */
    public void setSlowdown(long factor) {
        mSlowdownFactor = Math.max(1, factor);
    }

    /** Returns the number of model downloads refused so far. */
    public long refused() {
        return mRefused;
    }

    /** Returns the maximum number of concurrent model downloads so far. */
    public int peakModels() {
        return mPeakModels;
    }

    /** Returns the maximum number of concurrent adapter downloads so far. */
    public int peakAdapters() {
        return mPeakAdapters;
    }

    /** Returns the number of downloads started so far. */
    public long started() {
        return mLastPermit;
    }
}
