package org.oleanderspring.coordination.document;

import java.util.Objects;

/**
 * The name of a document, such as {@code settings}.
 *
 * @param value the name, 1 to 100 characters
 */
public record DocumentName(String value) implements Comparable<DocumentName> {
    /** The largest number of characters of a name. */
    public static final int MAX_LENGTH = 100;

    /** Rejects a blank name and one longer than {@link #MAX_LENGTH}. */
    public DocumentName {
        Objects.requireNonNull(value, "value");
        if (value.isBlank() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "document name must not be blank and has at most "
                            + MAX_LENGTH
                            + " characters: "
                            + value.length()
                            + " characters given");
        }
    }

    @Override
    public int compareTo(DocumentName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
