package org.oleanderspring.coordination.dispatch;

import java.util.Objects;

/**
 * The caller's identifier of one call; a repetition of the call has the same key. Must be unique
 * among the calls of all callers until the call's record is removed after {@link
 * DispatchSettings#retention}.
 *
 * @param value the key, 1 to 200 UTF-16 code units
 */
public record IdempotencyKey(String value) {
    /** The largest length of a key, in UTF-16 code units. */
    public static final int MAX_LENGTH = 200;

    /** Rejects an empty key and one longer than {@link #MAX_LENGTH}. */
    public IdempotencyKey {
        Objects.requireNonNull(value, "value");
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "idempotency key has "
                            + value.length()
                            + " characters; allowed: 1 to "
                            + MAX_LENGTH);
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
