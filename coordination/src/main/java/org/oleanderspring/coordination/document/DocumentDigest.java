package org.oleanderspring.coordination.document;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * What a member tells others about its documents.
 *
 * @param versions the versions in force, or some of them
 * @param serviceAge how long before the digest was made the member last had a reply of the
 *     key-value service, directly or through others; null if it never had one
 * @param witnesses when witnesses last replied
 */
public record DocumentDigest(
        List<DocumentVersion> versions, @Nullable Duration serviceAge, List<WitnessAge> witnesses) {
    /** Says nothing. */
    public static final DocumentDigest EMPTY = new DocumentDigest(List.of(), null, List.of());

    /** Copies the lists and checks the age. */
    public DocumentDigest {
        versions = List.copyOf(versions);
        witnesses = List.copyOf(witnesses);
        if (serviceAge != null && serviceAge.isNegative()) {
            throw new IllegalArgumentException("service age is negative: " + serviceAge);
        }
    }

    /**
     * Creates a digest that names no witnesses.
     *
     * @param versions the versions in force, or some of them
     * @param serviceAge the age of the last reply of the key-value service, or null
     */
    public DocumentDigest(List<DocumentVersion> versions, @Nullable Duration serviceAge) {
        this(versions, serviceAge, List.of());
    }

    /**
     * Returns the version of a document, or nothing if the digest does not contain it.
     *
     * @param name the document
     */
    public Optional<DocumentVersion> find(DocumentName name) {
        return versions.stream().filter(version -> version.name().equals(name)).findFirst();
    }
}
