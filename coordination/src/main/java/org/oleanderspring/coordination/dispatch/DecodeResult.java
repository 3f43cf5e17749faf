package org.oleanderspring.coordination.dispatch;

import java.util.Objects;

/**
 * The result of decoding a stored value.
 *
 * @param <T> the type of the value
 */
public sealed interface DecodeResult<T> {
    /**
     * The value was decoded.
     *
     * @param value the value
     * @param <T> its type
     */
    record Decoded<T>(T value) implements DecodeResult<T> {
        /** Rejects a null value. */
        public Decoded {
            Objects.requireNonNull(value, "value");
        }
    }

    /**
     * The value is damaged or has an unknown format. It must not be treated as empty, because the
     * keys of its records could then be claimed again and their calls be started twice.
     *
     * @param reason what is wrong, for log messages
     * @param <T> the type of the value
     */
    record Invalid<T>(String reason) implements DecodeResult<T> {
        /** Rejects a null reason. */
        public Invalid {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
