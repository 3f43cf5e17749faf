package org.oleanderspring.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/** The faults that are injected into the engine; used on the engine's state thread only. */
public final class EngineFaults {
    private boolean mCrashAfterNextLoad;
    private int mLoadsToFail;
    private Duration mExtraTokenDelay = Duration.ZERO;
    private boolean mIgnoreCancel;
    private int mRepliesToDrop;
    private boolean mDraining;

    /**
     * Sets the faults that are present in a document; the others keep their value.
     *
     * @param document the fields {@code crashAfterNextLoad}, {@code failLoads} (a number of loads),
     *     {@code slowMillis} (added to the delay of each token), {@code ignoreCancel}, {@code
     *     dropReplies} (a number of replies) and {@code draining}
     */
    public void update(JsonNode document) {
        mCrashAfterNextLoad = document.path("crashAfterNextLoad").asBoolean(mCrashAfterNextLoad);
        mLoadsToFail = document.path("failLoads").asInt(mLoadsToFail);
        mExtraTokenDelay =
                Duration.ofMillis(document.path("slowMillis").asLong(mExtraTokenDelay.toMillis()));
        mIgnoreCancel = document.path("ignoreCancel").asBoolean(mIgnoreCancel);
        mRepliesToDrop = document.path("dropReplies").asInt(mRepliesToDrop);
        mDraining = document.path("draining").asBoolean(mDraining);
    }

    /** Returns whether the process is to crash at the end of the next load. */
    public boolean crashesAfterLoad() {
        return mCrashAfterNextLoad;
    }

    /**
     * Returns whether the current load is to fail at its end, and decrements the remaining
     * failures.
     */
    public boolean consumeLoadFailure() {
        if (mLoadsToFail == 0) {
            return false;
        }
        mLoadsToFail--;
        return true;
    }

    /** Returns the time added to the delay of each token. */
    public Duration extraTokenDelay() {
        return mExtraTokenDelay;
    }

    /** Returns whether cancellations are accepted without effect. */
    public boolean ignoresCancel() {
        return mIgnoreCancel;
    }

    /**
     * Returns whether the reply of the current attempt or order is to be dropped after it was
     * executed, and decrements the remaining drops.
     */
    public boolean consumeDroppedReply() {
        if (mRepliesToDrop == 0) {
            return false;
        }
        mRepliesToDrop--;
        return true;
    }

    /** Returns whether the engine rejects new calls and loads. */
    public boolean isDraining() {
        return mDraining;
    }
}
