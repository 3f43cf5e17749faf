package org.oleanderspring.coordination.document.query;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentVersion;
import org.oleanderspring.coordination.document.WitnessAge;

/**
 * The versions in force together with the times of the service's and the witnesses' last replies,
 * which belong together.
 *
 * @param versions the versions in force, or some of them
 * @param freshAt when the key-value service last replied, on this member's clock; null for never
 * @param witnesses when the witnesses last replied
 */
public record DigestSnapshot(
        List<DocumentVersion> versions, @Nullable Instant freshAt, List<WitnessContact> witnesses) {
    /** Says nothing. */
    public static final DigestSnapshot EMPTY = new DigestSnapshot(List.of(), null, List.of());

    /** Copies the lists. */
    public DigestSnapshot {
        versions = List.copyOf(versions);
        witnesses = List.copyOf(witnesses);
    }

    /**
     * Returns the digest to send now.
     *
     * @param now the current time of this member's clock
     */
    public DocumentDigest at(Instant now) {
        List<WitnessAge> ages =
                witnesses.stream()
                        .map(
                                contact ->
                                        new WitnessAge(
                                                contact.witness(), age(contact.repliedAt(), now)))
                        .toList();
        return new DocumentDigest(versions, freshAt == null ? null : age(freshAt, now), ages);
    }

    private static Duration age(Instant from, Instant now) {
        Duration age = Duration.between(from, now);
        return age.isNegative() ? Duration.ZERO : age;
    }
}
