package org.oleanderspring.coordination.dispatch;

import java.util.Objects;

/**
 * What decoding a stored value returned.
 *
 * @param <T> the type of the value
 */
public sealed interface DecodeResult<T> {
    /**
     * The value was understood.
     *
     * @param value the value
     * @param <T> its type
     */
    record Decoded<T>(T value) implements DecodeResult<T> {
        /** Checks for a missing value. */
        public Decoded {
            Objects.requireNonNull(value, "value");
        }
    }

    /**
     * The content is damaged or has an unknown format; it must not be treated as empty.
     *
     * @param reason what is wrong, for the log
     * @param <T> the type of the value
     */
    record Broken<T>(String reason) implements DecodeResult<T> {
        /** Checks for a missing reason. */
        public Broken {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
