package org.oleanderspring.standin.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.oleanderspring.standin.http.Json;

/** The runs and the faults of a plain service; confined to its duty. */
public final class ServiceState {
    private final Map<String, Long> mRunsByKey = new TreeMap<>();
    private long mRuns;
    private Duration mDelay;
    private int mRepliesToLose;
    private boolean mDraining;

    /**
     * Creates the state without a run.
     *
     * @param delay how long the work takes
     */
    public ServiceState(Duration delay) {
        mDelay = delay;
    }

    /**
     * Counts a run.
     *
     * @param idempotencyKey the key of the call; empty if it has none
     */
    public void countRun(String idempotencyKey) {
        mRuns++;
        if (!idempotencyKey.isEmpty()) {
            mRunsByKey.merge(idempotencyKey, 1L, Long::sum);
        }
    }

    /**
     * Takes over the faults that a document names; the others stay.
     *
     * @param document the fields {@code slowMillis}, {@code loseReplies} and {@code draining}
     */
    public void updateFaults(JsonNode document) {
        mDelay = Duration.ofMillis(document.path("slowMillis").asLong(mDelay.toMillis()));
        mRepliesToLose = document.path("loseReplies").asInt(mRepliesToLose);
        mDraining = document.path("draining").asBoolean(mDraining);
    }

    /** Returns how long the work takes. */
    public Duration workDuration() {
        return mDelay;
    }

    /** Returns whether the service takes no new calls. */
    public boolean isDraining() {
        return mDraining;
    }

    /** Returns whether the reply of this run gets lost, and counts it. */
    public boolean consumeLostReply() {
        if (mRepliesToLose == 0) {
            return false;
        }
        mRepliesToLose--;
        return true;
    }

    /** Returns the ledger as a document. */
    public ObjectNode toJson() {
        ObjectNode document = Json.object().put("runs", mRuns);
        ObjectNode byKey = document.putObject("runsByKey");
        mRunsByKey.forEach(byKey::put);
        return document;
    }
}
