package org.oleanderspring.coordination.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * The record that a call was dispatched.
 *
 * @param key the hash of the call's idempotency key
 * @param state how far the call has come
 * @param recordedAtSeconds when the record was made, in seconds since 1970, rounded up
 */
public record DispatchRecord(KeyHash key, RecordState state, long recordedAtSeconds) {
    /** Checks for missing parts. */
    public DispatchRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(state, "state");
    }

    /**
     * Returns a record of a call that may start now.
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
     * @param newState how far the call has come
     */
    public DispatchRecord withState(RecordState newState) {
        return new DispatchRecord(key, newState, recordedAtSeconds);
    }

    /**
     * Returns whether the record has outlived its retention.
     *
     * @param retention how long records are kept
     * @param now the current time
     */
    public boolean isExpired(Duration retention, Instant now) {
        return !Instant.ofEpochSecond(recordedAtSeconds).plus(retention).isAfter(now);
    }
}
