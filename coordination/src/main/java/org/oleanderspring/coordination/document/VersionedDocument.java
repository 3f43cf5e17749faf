package org.oleanderspring.coordination.document;

import java.util.Arrays;
import java.util.Objects;
import java.util.zip.CRC32;

/**
 * One version of a document.
 *
 * @param name the document
 * @param number the version number contained in the content; each change increases it by one
 * @param bytes the content; not copied, must not be modified
 */
public record VersionedDocument(DocumentName name, long number, byte[] bytes) {
    /** Rejects null components and a number that is not positive. */
    public VersionedDocument {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(bytes, "bytes");
        if (number < 1) {
            throw new IllegalArgumentException(
                    "number of document " + name + " is not positive: " + number);
        }
    }

    /**
     * Returns whether this version supersedes another version of the same document.
     *
     * <p>The version with the higher number supersedes the other. Two versions can have the same
     * number after the key-value service lost an accepted version and an operator wrote another one
     * in its place. Comparing their bytes makes every member choose the same version.
     *
     * @param other the other version
     */
    public boolean isNewerThan(VersionedDocument other) {
        if (number != other.number) {
            return number > other.number;
        }
        return Arrays.compareUnsigned(bytes, other.bytes) > 0;
    }

    /** Returns the name and number of this version, with a CRC-32 checksum of the content. */
    public DocumentVersion version() {
        CRC32 checksum = new CRC32();
        checksum.update(bytes);
        return new DocumentVersion(name, number, (int) checksum.getValue());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VersionedDocument that
                && name.equals(that.name)
                && number == that.number
                && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Objects.hash(name, number, Arrays.hashCode(bytes));
    }

    @Override
    public String toString() {
        return name + " " + number;
    }
}
