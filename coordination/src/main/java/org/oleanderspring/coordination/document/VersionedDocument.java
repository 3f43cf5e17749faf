package org.oleanderspring.coordination.document;

import java.util.Arrays;
import java.util.Objects;
import java.util.zip.CRC32;

/**
 * One version of a document.
 *
 * @param name the document
 * @param number the number that the content carries; each change raises it by one
 * @param bytes the content; not to be changed
 */
public record VersionedDocument(DocumentName name, long number, byte[] bytes) {
    /** Checks for missing parts and the range of the number. */
    public VersionedDocument {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(bytes, "bytes");
        if (number < 1) {
            throw new IllegalArgumentException("document number is not positive: " + number);
        }
    }

    /**
     * Returns whether this version takes the place of another one of the same document.
     *
     * <p>The higher number does. Two contents can carry the same number after the key-value service
     * lost an accepted version and an operator wrote another one in its place. Comparing the bytes
     * makes every member choose the same one.
     *
     * @param other the other version
     */
    public boolean isNewerThan(VersionedDocument other) {
        if (number != other.number) {
            return number > other.number;
        }
        return Arrays.compareUnsigned(bytes, other.bytes) > 0;
    }

    /** Returns the name and number with a checksum of the content. */
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
