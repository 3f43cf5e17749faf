package org.oleanderspring.coordination.watch.command;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Whether the key-value service answers this daemon, as shown by all calls of the daemon together.
 *
 * <p>A call that fails puts the contact in doubt; the next call that is answered ends the doubt. A
 * call without an answer proves nothing meanwhile: the service may have lost it, or its connection
 * may have become silent. While in doubt, the watches probe the service with one call at a time.
 */
final class StoreContact {
    private boolean mInDoubt;
    private Instant mLastAnswerAt = Instant.MIN;
    private Instant mNextProbeAt = Instant.MIN;

    boolean isInDoubt() {
        return mInDoubt;
    }

    /** Records that a call of another part of the daemon failed. */
    void otherCallFailed() {
        mInDoubt = true;
    }

    /**
     * Records that a call of a watch failed.
     *
     * @param retryAt the time before which no watch calls again unless the contact is regained
     */
    void watchCallFailed(Instant retryAt) {
        mInDoubt = true;
        mNextProbeAt = retryAt;
    }

    /**
     * Records an answer to any call.
     *
     * @return the time without any answer before it if the answer ends a doubt, otherwise null
     */
    @Nullable Duration answered(Instant now) {
        Duration silence = mInDoubt ? sinceLastAnswer(now) : null;
        mInDoubt = false;
        mLastAnswerAt = now;
        mNextProbeAt = Instant.MIN;
        return silence;
    }

    /**
     * Returns the time before which no watch may call; long past if the contact is not in doubt.
     */
    Instant nextProbeAt() {
        return mNextProbeAt;
    }

    /** Returns the time since the last answer; zero before the first one. */
    Duration sinceLastAnswer(Instant now) {
        return mLastAnswerAt.equals(Instant.MIN)
                ? Duration.ZERO
                : Duration.between(mLastAnswerAt, now);
    }
}
