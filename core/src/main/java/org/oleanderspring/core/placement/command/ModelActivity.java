package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** The calls and the usage history of one model or adapter, summed over all daemons. */
final class ModelActivity {
    private final ArrivalHistory mHistory = new ArrivalHistory();
    private final List<Instant> mLastNeeded = new ArrayList<>();
    private int mInFlight;
    private int mQueued;
    private Instant mLastUse = Instant.MIN;

    ArrivalHistory history() {
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

    /** Records a use of the model. */
    void touch(Instant now, ArrivalHistory pool) {
        if (mLastUse.equals(Instant.MIN)) {
            mHistory.noteDay(now);
        } else if (now.isAfter(mLastUse)) {
            noteUseAfter(mLastUse, now, pool);
        }
        mLastUse = now.isAfter(mLastUse) ? now : mLastUse;
        noteNeeded(1, now);
    }

    private void noteUseAfter(Instant lastUse, Instant now, ArrivalHistory pool) {
        mHistory.noteGap(lastUse, now);
        pool.noteGap(lastUse, now);
        mHistory.noteDay(now);
    }

    /** Returns the time of the last use, or {@link Instant#MIN} if there was none. */
    Instant lastUse() {
        return mLastUse;
    }

    /** Records that at least {@code replicas} replicas are needed now. */
    void noteNeeded(int replicas, Instant now) {
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
