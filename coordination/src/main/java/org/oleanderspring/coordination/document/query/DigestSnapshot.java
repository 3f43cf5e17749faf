package org.oleanderspring.coordination.document.query;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentVersion;
import org.oleanderspring.coordination.document.WitnessAge;

/**
 * A consistent snapshot of the content of a digest: current versions, the time up to which the
 * governing document is known to be current, and the times of the witnesses' last replies. Times
 * are converted to ages when the digest is sent.
 *
 * @param versions the current versions, or some of them
 * @param freshAt the time up to which this member has every accepted version of the governing
 *     document, on this member's clock; null if there is none
 * @param witnesses the times of the witnesses' last replies
 */
public record DigestSnapshot(
        List<DocumentVersion> versions, @Nullable Instant freshAt, List<WitnessContact> witnesses) {
    /** A snapshot without content. */
    public static final DigestSnapshot EMPTY = new DigestSnapshot(List.of(), null, List.of());

    /** Copies the lists; null elements are rejected. */
    public DigestSnapshot {
        versions = List.copyOf(versions);
        witnesses = List.copyOf(witnesses);
    }

    /**
     * Returns the digest to send now.
     *
     * @param now the current time on this member's clock
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
