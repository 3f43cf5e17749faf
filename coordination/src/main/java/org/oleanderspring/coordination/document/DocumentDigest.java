package org.oleanderspring.coordination.document;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A summary of a member's documents that is sent to other members.
 *
 * @param versions the current versions, or some of them
 * @param serviceAge age of the member's last reply from the key-value service, received directly or
 *     relayed by other members, when the digest was made; null if there was none
 * @param witnesses the ages of the witnesses' last replies
 */
public record DocumentDigest(
        List<DocumentVersion> versions, @Nullable Duration serviceAge, List<WitnessAge> witnesses) {
    /** A digest without content. */
    public static final DocumentDigest EMPTY = new DocumentDigest(List.of(), null, List.of());

    /** Copies the lists and rejects a negative service age. */
    public DocumentDigest {
        versions = List.copyOf(versions);
        witnesses = List.copyOf(witnesses);
        if (serviceAge != null && serviceAge.isNegative()) {
            throw new IllegalArgumentException("service age is negative: " + serviceAge);
        }
    }

    /**
     * Creates a digest without witnesses.
     *
     * @param versions the current versions, or some of them
     * @param serviceAge the age of the last reply from the key-value service, received directly or
     *     relayed by other members; null if there was none
     */
    public DocumentDigest(List<DocumentVersion> versions, @Nullable Duration serviceAge) {
        this(versions, serviceAge, List.of());
    }

    /**
     * Returns the version of a document, or empty if the digest does not contain it.
     *
     * @param name the document
     */
    public Optional<DocumentVersion> find(DocumentName name) {
        return versions.stream().filter(version -> version.name().equals(name)).findFirst();
    }
}
