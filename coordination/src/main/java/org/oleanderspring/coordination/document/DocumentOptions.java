package org.oleanderspring.coordination.document;

import java.time.Duration;
import java.util.Objects;

/**
 * Numbers that govern how documents are spread.
 *
 * @param governing the document without which a member decides nothing
 * @param freshnessBound how old the last reply of the key-value service may be, directly or through
 *     others, for a member to decide anything
 * @param contactBound how old a reply of another member may be for it to count as contact
 * @param fanOut the number of members that a new version is pushed to
 * @param watchersPerDomain the number of members per failure domain that watch the service
 * @param digestVersions the largest number of versions in one digest
 * @param witnesses the largest number of members whose replies stand for a majority
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

    /** Checks the ranges. */
    public DocumentOptions {
        Objects.requireNonNull(governing, "governing");
        requirePositive(freshnessBound, "freshnessBound");
        requirePositive(contactBound, "contactBound");
        if (fanOut < 1 || watchersPerDomain < 1 || digestVersions < 1 || witnesses < 1) {
            throw new IllegalArgumentException("a number of members or versions is not positive");
        }
    }

    /**
     * Returns the usual numbers. The bound on contact is half the bound on freshness, see {@code
     * DefaultDocumentDecider}.
     *
     * @param governing the document without which a member decides nothing
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
