package org.oleanderspring.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/** The faults in force; confined to the engine's duty. */
public final class EngineFaults {
    private boolean mCrashAfterNextLoad;
    private int mLoadsToFail;
    private Duration mExtraTokenDelay = Duration.ZERO;
    private boolean mIgnoreCancel;
    private int mRepliesToDrop;
    private boolean mDraining;

    /**
     * Takes over the faults that a document names; the others stay.
     *
     * @param document the fields {@code crashAfterNextLoad}, {@code failLoads}, {@code slowMillis},
     *     {@code ignoreCancel}, {@code dropReplies} and {@code draining}
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

    /** Returns whether the process ends when the next load is complete. */
    public boolean crashesAfterLoad() {
        return mCrashAfterNextLoad;
    }

    /** Returns whether this load fails at its end, and counts it. */
    public boolean consumeLoadFailure() {
        if (mLoadsToFail == 0) {
            return false;
        }
        mLoadsToFail--;
        return true;
    }

    /** Returns the time added to each token. */
    public Duration extraTokenDelay() {
        return mExtraTokenDelay;
    }

    /** Returns whether cancelled attempts go on. */
    public boolean ignoresCancel() {
        return mIgnoreCancel;
    }

    /**
     * Returns whether the reply of this attempt or order is dropped after the work, and counts it.
     */
    public boolean consumeDroppedReply() {
        if (mRepliesToDrop == 0) {
            return false;
        }
        mRepliesToDrop--;
        return true;
    }

    /** Returns whether the engine takes no new calls. */
    public boolean isDraining() {
        return mDraining;
    }
}
