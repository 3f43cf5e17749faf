package org.oleanderspring.standin.keyvalue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/** The faults in force; confined to the stand-in's duty. */
public final class KeyValueFaults {
    private boolean mDown;
    private Duration mDelay = Duration.ZERO;
    private int mRepliesToLose;

    /**
     * Takes over the faults that a document names; the others stay.
     *
     * @param document the fields {@code down}, {@code slowMillis} and {@code loseReplies}
     */
    public void update(JsonNode document) {
        mDown = document.path("down").asBoolean(mDown);
        mDelay = Duration.ofMillis(document.path("slowMillis").asLong(mDelay.toMillis()));
        mRepliesToLose = document.path("loseReplies").asInt(mRepliesToLose);
    }

    /** Returns whether all connections are broken without an answer. */
    public boolean isDown() {
        return mDown;
    }

    /** Returns how long each call waits before it is carried out. */
    public Duration delay() {
        return mDelay;
    }

    /** Returns whether the reply of this write gets lost, and counts it. */
    public boolean consumeLostReply() {
        if (mRepliesToLose == 0) {
            return false;
        }
        mRepliesToLose--;
        return true;
    }
}
