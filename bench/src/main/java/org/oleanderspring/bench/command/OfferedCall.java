package org.oleanderspring.bench.command;

import java.time.Duration;
import java.time.Instant;

/** A call of a simulated caller; the caller may send it several times. */
final class OfferedCall {
    private final Instant mOfferedAt;
    private final Instant mDeadline;
    private final Duration mTimeToFirstByte;
    private final Duration mTimeAfterFirstByte;
    private int mSendCount;

    OfferedCall(
            Instant offeredAt,
            Duration callerTimeout,
            Duration timeToFirstByte,
            Duration timeAfterFirstByte) {
        mOfferedAt = offeredAt;
        mDeadline = offeredAt.plus(callerTimeout);
        mTimeToFirstByte = timeToFirstByte;
        mTimeAfterFirstByte = timeAfterFirstByte;
    }

    Instant offeredAt() {
        return mOfferedAt;
    }

    Instant deadline() {
        return mDeadline;
    }

    /** Returns the time from the start of an attempt to the first byte of its answer. */
    Duration timeToFirstByte() {
        return mTimeToFirstByte;
    }

    /** Returns the time from the start of an attempt to the last byte of its answer. */
    Duration serviceTime() {
        return mTimeToFirstByte.plus(mTimeAfterFirstByte);
    }

    void recordSend() {
        mSendCount++;
    }

    int sendCount() {
        return mSendCount;
    }
}
