package org.oleanderspring.daemon.codec;

import java.util.Objects;

/**
 * The result of decoding a document.
 *
 * @param <T> the type of document
 */
public sealed interface DecodedDocument<T> {
    /**
     * The document could be decoded.
     *
     * @param value the document
     * @param <T> the type of document
     */
    record Valid<T>(T value) implements DecodedDocument<T> {
        /** Rejects null. */
        public Valid {
            Objects.requireNonNull(value, "value");
        }
    }

    /**
     * The content could not be decoded; it must not be treated as an empty document.
     *
     * @param reason why it could not be decoded, for logs and error messages
     * @param <T> the type of document
     */
    record Malformed<T>(String reason) implements DecodedDocument<T> {}
}
