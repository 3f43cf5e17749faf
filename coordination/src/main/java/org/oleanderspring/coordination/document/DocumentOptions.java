package org.oleanderspring.coordination.document;

import java.time.Duration;
import java.util.Objects;

/**
 * Parameters of the replication of documents.
 *
 * @param governing the document that a member must have, and that must be fresh, before the member
 *     may make decisions
 * @param freshnessBound the largest age of the last reply from the key-value service, received
 *     directly or relayed by other members, at which a member may make decisions
 * @param contactBound the largest age of another member's reply at which that member counts as in
 *     contact
 * @param fanOut the number of members that a new version is pushed to
 * @param watchersPerDomain the number of members per failure domain that watch a document at the
 *     key-value service
 * @param digestVersions the largest number of versions in one digest
 * @param witnesses the largest number of witnesses; a quorum of witnesses counts as a majority of
 *     all members
 */
public record DocumentOptions(
        DocumentName governing,
        Duration freshnessBound,
        Duration contactBound,
        int fanOut,
        int watchersPerDomain,
        int digestVersions,
        int witnesses) {
    private static final Duration DEFAULT_FRESHNESS_BOUND = Duration.ofSeconds(13);
    private static final int DEFAULT_FAN_OUT = 3;
    private static final int DEFAULT_WATCHERS_PER_DOMAIN = 2;
    private static final int DEFAULT_DIGEST_VERSIONS = 4;
    private static final int DEFAULT_WITNESSES = 9;

    /** Rejects a null document, and durations and numbers that are not positive. */
    public DocumentOptions {
        Objects.requireNonNull(governing, "governing");
        requirePositive(freshnessBound, "freshnessBound");
        requirePositive(contactBound, "contactBound");
        if (fanOut < 1 || watchersPerDomain < 1 || digestVersions < 1 || witnesses < 1) {
            throw new IllegalArgumentException(
                    "document options not positive: fanOut="
                            + fanOut
                            + ", watchersPerDomain="
                            + watchersPerDomain
                            + ", digestVersions="
                            + digestVersions
                            + ", witnesses="
                            + witnesses);
        }
    }

    /**
     * Returns the default options. The contact bound is half the freshness bound; {@code
     * DefaultDocumentDecider} explains why.
     *
     * @param governing the document that a member must have before it may make decisions
     */
    public static DocumentOptions defaults(DocumentName governing) {
        return new DocumentOptions(
                governing,
                DEFAULT_FRESHNESS_BOUND,
                DEFAULT_FRESHNESS_BOUND.dividedBy(2),
                DEFAULT_FAN_OUT,
                DEFAULT_WATCHERS_PER_DOMAIN,
                DEFAULT_DIGEST_VERSIONS,
                DEFAULT_WITNESSES);
    }

    private static void requirePositive(Duration value, String name) {
        if (value.isNegative() || value.isZero()) {
            throw new IllegalArgumentException(name + " is not positive: " + value);
        }
    }
}
