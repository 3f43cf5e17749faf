package org.oleanderspring.bench.command;

import java.time.Duration;
import java.time.Instant;

/** A call as its caller sees it, over all times that it is sent. */
final class OfferedCall {
    private final Instant mOfferedAt;
    private final Instant mDeadline;
    private final Duration mFirstByte;
    private final Duration mRest;
    private int mSends;

    OfferedCall(Instant offeredAt, Duration patience, Duration firstByte, Duration rest) {
        mOfferedAt = offeredAt;
        mDeadline = offeredAt.plus(patience);
        mFirstByte = firstByte;
        mRest = rest;
    }

    Instant offeredAt() {
        return mOfferedAt;
    }

    Instant deadline() {
        return mDeadline;
    }

    /** Returns the time from the start of an attempt to the first byte of its answer. */
    Duration firstByte() {
        return mFirstByte;
    }

    /** Returns the time from the start of an attempt to the last byte of its answer. */
    Duration service() {
        return mFirstByte.plus(mRest);
    }

    void sent() {
        mSends++;
    }

    int sends() {
        return mSends;
    }
}
