package org.oleanderspring.coordination.document;

import java.util.Objects;

/**
 * Names one version of a document without its content.
 *
 * @param name the document
 * @param number the number of the version
 * @param checksum a checksum of the content, which tells contents with equal numbers apart
 */
public record DocumentVersion(DocumentName name, long number, int checksum) {
    /** Checks for missing parts and the range of the number. */
    public DocumentVersion {
        Objects.requireNonNull(name, "name");
        if (number < 1) {
            throw new IllegalArgumentException("document number is not positive: " + number);
        }
    }
}
