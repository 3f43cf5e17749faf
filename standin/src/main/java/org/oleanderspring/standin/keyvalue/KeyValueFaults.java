package org.oleanderspring.standin.keyvalue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/**
 * The faults that are injected into the key-value service; used on the stand-in's state thread
 * only.
 */
public final class KeyValueFaults {
    private boolean mDown;
    private Duration mDelay = Duration.ZERO;
    private int mRepliesToLose;

    /**
     * Sets the faults that are present in a document; the others keep their value.
     *
     * @param document the fields {@code down}, {@code slowMillis} (the delay of each call) and
     *     {@code loseReplies} (a number of replies to writes)
     */
    public void update(JsonNode document) {
        mDown = document.path("down").asBoolean(mDown);
        mDelay = Duration.ofMillis(document.path("slowMillis").asLong(mDelay.toMillis()));
        mRepliesToLose = document.path("loseReplies").asInt(mRepliesToLose);
    }

    /** Returns whether the connection of each call is closed without a response. */
    public boolean isDown() {
        return mDown;
    }

    /** Returns the delay before each call is executed. */
    public Duration delay() {
        return mDelay;
    }

    /**
     * Returns whether the reply of the current write is to be lost, and decrements the remaining
     * ones.
     */
    public boolean consumeLostReply() {
        if (mRepliesToLose == 0) {
            return false;
        }
        mRepliesToLose--;
        return true;
    }
}
