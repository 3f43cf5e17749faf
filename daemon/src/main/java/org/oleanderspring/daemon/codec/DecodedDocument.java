package org.oleanderspring.daemon.codec;

import java.util.Objects;

/**
 * A decoded document, or why it could not be decoded.
 *
 * @param <T> the type of document
 */
public sealed interface DecodedDocument<T> {
    /**
     * The document.
     *
     * @param value the document
     * @param <T> the type of document
     */
    record Valid<T>(T value) implements DecodedDocument<T> {
        /** Checks for a missing document. */
        public Valid {
            Objects.requireNonNull(value, "value");
        }
    }

    /**
     * The content is broken; it must not be taken for an empty document.
     *
     * @param reason what is wrong
     * @param <T> the type of document
     */
    record Malformed<T>(String reason) implements DecodedDocument<T> {}
}
