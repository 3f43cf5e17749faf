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

    /** Rejects an empty key and one longer than {@link #LIMIT_CHARACTERS}. */
    public IdempotencyKey {
        Objects.requireNonNull(value, "value");
        if (value.isEmpty() || value.length() > LIMIT_CHARACTERS) {
            throw new IllegalArgumentException(
                    "idempotency key has "
                            + value.length()
                            + " characters; allowed: 1 to "
                            + LIMIT_CHARACTERS);
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
