package org.oleanderspring.coordination.dispatch;

import java.util.Objects;

/**
 * The caller's name for one call; a repeated call carries the same key.
 *
 * @param value the key, 1 to 200 characters
 */
public record IdempotencyKey(String value) {
    /** The largest number of characters of a key. */
    public static final int LIMIT_CHARACTERS = 200;

    /** Checks the length. */
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
