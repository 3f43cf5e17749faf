package org.oleanderspring.bench.command;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.oleanderspring.bench.query.OverloadResult;
import org.oleanderspring.core.routing.RefusalReason;

/** Collects the counts and times of one overload run. */
final class OverloadTally {
    private static final double NANOS_PER_MILLI = 1_000_000;

    private final Map<String, Long> mRefusals = new TreeMap<>();
    private long mOffered;
    private long mUseful;
    private long mExtraAttempts;
    private long mWastedNanos;
    private long mBusyNanos;
    private long mRefusalNanos;
    private long mRefused;

    void recordOffered() {
        mOffered++;
    }

    /** Records a repeated sending by a caller, or an attempt after the first by the daemon. */
    void recordExtraAttempt() {
        mExtraAttempts++;
    }

    /** Records an ended attempt with the replica time that it took. */
    void recordAttempt(Duration replicaTime, boolean isUseful) {
        mBusyNanos += replicaTime.toNanos();
        if (isUseful) {
            mUseful++;
        } else {
            mWastedNanos += replicaTime.toNanos();
        }
    }

    /** Records the final refusal of a call. */
    void recordRefused(RefusalReason reason, Duration sinceOffered) {
        mRefused++;
        mRefusalNanos += sinceOffered.toNanos();
        mRefusals.merge(reason.name().toLowerCase(Locale.ROOT), 1L, Long::sum);
    }

    OverloadResult result() {
        return new OverloadResult(
                mOffered,
                mUseful,
                mExtraAttempts,
                mWastedNanos / NANOS_PER_MILLI,
                mBusyNanos / NANOS_PER_MILLI,
                mRefused == 0 ? 0 : mRefusalNanos / NANOS_PER_MILLI / mRefused,
                mRefusals);
    }
}
