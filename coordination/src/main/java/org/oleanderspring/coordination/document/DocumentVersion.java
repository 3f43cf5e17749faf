package org.oleanderspring.coordination.document;

import java.util.Objects;

/**
 * Identifies one version of a document without its content.
 *
 * @param name the document
 * @param number the number of the version
 * @param checksum a checksum of the content; distinguishes contents with the same number
 */
public record DocumentVersion(DocumentName name, long number, int checksum) {
    /** Rejects a null name and a number that is not positive. */
    public DocumentVersion {
        Objects.requireNonNull(name, "name");
        if (number < 1) {
            throw new IllegalArgumentException(
                    "number of document " + name + " is not positive: " + number);
        }
    }
}
