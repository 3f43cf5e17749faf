package org.oleanderspring.coordination.dispatch;

import java.util.Objects;

/**
 * The caller's identifier of one call; a repetition of the call has the same key.
 *
 * @param value the key, 1 to 200 characters
 */
public record IdempotencyKey(String value) {
    /** The largest number of characters of a key. */
    public static final int LIMIT_CHARACTERS = 200;

    /** Checks that the length is in range. */
    public IdempotencyKey {
        Objects.requireNonNull(value, "value");
        if (value.isEmpty() || value.length() > LIMIT_CHARACTERS) {
            throw new IllegalArgumentException(
                    "idempotency key has " + value.length() + " characters");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
