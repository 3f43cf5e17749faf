package org.oleanderspring.coordination.document.query;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentVersion;

/**
 * The versions in force together with the time of the service's last reply; both belong together.
 *
 * @param versions the versions in force, or some of them
 * @param freshAt when the key-value service last replied, on this member's clock; null for never
 */
public record DigestSnapshot(List<DocumentVersion> versions, @Nullable Instant freshAt) {
    /** Copies the list. */
    public DigestSnapshot {
        versions = List.copyOf(versions);
    }

    /**
     * Returns the digest to send now.
     *
     * @param now the current time of this member's clock
     */
    public DocumentDigest at(Instant now) {
        if (freshAt == null) {
            return new DocumentDigest(versions, null);
        }
        Duration age = Duration.between(freshAt, now);
        return new DocumentDigest(versions, age.isNegative() ? Duration.ZERO : age);
    }
}
