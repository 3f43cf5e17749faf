package org.oleanderspring.standin.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.oleanderspring.standin.http.Json;

/** The execution counts and injected faults of a service; used on its state thread only. */
public final class ServiceState {
    private final Map<String, Long> mRunsByKey = new TreeMap<>();
    private long mRuns;
    private Duration mWorkDuration;
    private int mRepliesToLose;
    private boolean mDraining;

    /**
     * Creates the state of a service that has not executed a call.
     *
     * @param workDuration the duration of a call
     */
    public ServiceState(Duration workDuration) {
        mWorkDuration = workDuration;
    }

    /**
     * Counts the execution of a call.
     *
     * @param idempotencyKey the idempotency key of the call; empty if it has none
     */
    public void countRun(String idempotencyKey) {
        mRuns++;
        if (!idempotencyKey.isEmpty()) {
            mRunsByKey.merge(idempotencyKey, 1L, Long::sum);
        }
    }

    /**
     * Sets the faults that are present in a document; the others keep their value.
     *
     * @param document the fields {@code slowMillis} (the new duration of a call), {@code
     *     loseReplies} (a number of replies) and {@code draining}
     */
    public void updateFaults(JsonNode document) {
        mWorkDuration =
                Duration.ofMillis(document.path("slowMillis").asLong(mWorkDuration.toMillis()));
        mRepliesToLose = document.path("loseReplies").asInt(mRepliesToLose);
        mDraining = document.path("draining").asBoolean(mDraining);
    }

    /** Returns the duration of a call. */
    public Duration workDuration() {
        return mWorkDuration;
    }

    /** Returns whether the service rejects new calls. */
    public boolean isDraining() {
        return mDraining;
    }

    /**
     * Returns whether the reply of the current call is to be lost, and decrements the remaining
     * ones.
     */
    public boolean consumeLostReply() {
        if (mRepliesToLose == 0) {
            return false;
        }
        mRepliesToLose--;
        return true;
    }

    /** Returns the execution counts as JSON. */
    public ObjectNode toJson() {
        ObjectNode document = Json.object().put("runs", mRuns);
        ObjectNode byKey = document.putObject("runsByKey");
        mRunsByKey.forEach(byKey::put);
        return document;
    }
}
