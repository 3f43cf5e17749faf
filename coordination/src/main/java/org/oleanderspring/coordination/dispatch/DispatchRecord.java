package org.oleanderspring.coordination.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * A record of a dispatched call.
 *
 * @param key the hash of the call's idempotency key
 * @param state the state of the call
 * @param recordedAtSeconds when the record was created, in seconds since the epoch; the next full
 *     second, so that the record does not expire before its retention has passed
 */
public record DispatchRecord(KeyHash key, RecordState state, long recordedAtSeconds) {
    /** Rejects a null key or state. */
    public DispatchRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(state, "state");
    }

    /**
     * Creates the record of a call that may be started now.
     *
     * @param key the hash of the call's idempotency key
     * @param now the current time
     */
    public static DispatchRecord dispatched(KeyHash key, Instant now) {
        return new DispatchRecord(key, RecordState.DISPATCHED, now.getEpochSecond() + 1);
    }

    /**
     * Returns this record with another state.
     *
     * @param newState the new state of the call
     */
    public DispatchRecord withState(RecordState newState) {
        return new DispatchRecord(key, newState, recordedAtSeconds);
    }

    /**
     * Returns whether the retention of the record has passed.
     *
     * @param retention how long records are kept
     * @param now the current time
     */
    public boolean isExpired(Duration retention, Instant now) {
        return !Instant.ofEpochSecond(recordedAtSeconds).plus(retention).isAfter(now);
    }
}
