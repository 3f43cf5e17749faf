package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** The calls and the usage history of one model or adapter, summed over all daemons. */
final class ModelTraffic {
    private final UsageHistory mHistory = new UsageHistory();

    /** The time at which at least n + 1 replicas were last needed, at index n. */
    private final List<Instant> mLastNeeded = new ArrayList<>();

    private int mInFlight;
    private int mQueued;
    private Instant mLastUse = Instant.MIN;

    UsageHistory history() {
        return mHistory;
    }

    /** Adds the difference between a daemon's new and previous report. */
    void add(int inFlight, int queued) {
        mInFlight += inFlight;
        mQueued += queued;
    }

    /** Returns the number of calls that are in flight or queued. */
    int demand() {
        return mInFlight + mQueued;
    }

    /**
     * Records a use, and the idle gap before it in the histories of the model and of all models.
     */
    void recordUse(Instant now, UsageHistory pool) {
        if (mLastUse.equals(Instant.MIN)) {
            mHistory.addDailyUse(now);
        } else if (now.isAfter(mLastUse)) {
            recordUseAfter(mLastUse, now, pool);
        }
        mLastUse = now.isAfter(mLastUse) ? now : mLastUse;
        recordNeeded(1, now);
    }

    private void recordUseAfter(Instant lastUse, Instant now, UsageHistory pool) {
        mHistory.addGap(lastUse, now);
        pool.addGap(lastUse, now);
        mHistory.addDailyUse(now);
    }

    /** Returns the time of the last use, or {@link Instant#MIN} if there was none. */
    Instant lastUse() {
        return mLastUse;
    }

    /** Records that at least {@code replicas} replicas are needed now. */
    void recordNeeded(int replicas, Instant now) {
        for (int i = 0; i < replicas; i++) {
            if (i < mLastNeeded.size()) {
                mLastNeeded.set(i, now);
            } else {
                mLastNeeded.add(now);
            }
        }
    }

    /**
     * Returns the time at which at least {@code replicas} replicas were last needed, or {@link
     * Instant#MIN} if never.
     */
    Instant lastNeeded(int replicas) {
        return replicas <= mLastNeeded.size() ? mLastNeeded.get(replicas - 1) : Instant.MIN;
    }
}
