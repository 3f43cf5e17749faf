package org.oleanderspring.core.organisation.query;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * How long ago the configuration in force was known to be the latest one, and whether keys may
 * still be accepted by it.
 *
 * <p>A key that was taken away must not be accepted for a request that was sent later than the
 * revocation limit after the change was acknowledged. The proof is from a time before that
 * acknowledgement. So a request that is accepted while the proof is younger than the limit was sent
 * in time, however long its own way and that of the proof took. The reserve covers clocks that run
 * at different speeds.
 */
public final class ConfigurationProof {
    /** The share of the revocation limit for which a proof is valid. */
    private static final double VALID_SHARE = 0.9;

    private final @Nullable Duration mValidity;

    /** Read by the thread that serves metrics, too. */
    private volatile @Nullable Instant mProvenAt;

    /**
     * Creates a state without a proof.
     *
     * @param revocationLimit how long a key may be accepted after it was taken away, or null if
     *     that is not limited; then no proof is needed
     */
    public ConfigurationProof(@Nullable Duration revocationLimit) {
        mValidity =
                revocationLimit == null
                        ? null
                        : Duration.ofNanos((long) (revocationLimit.toNanos() * VALID_SHARE));
    }

    /**
     * Records a proof. An older one than is known changes nothing.
     *
     * @param provenAt a time at which the configuration in force was the latest one
     */
    public void proven(Instant provenAt) {
        Instant known = mProvenAt;
        if (known == null || provenAt.isAfter(known)) {
            mProvenAt = provenAt;
        }
    }

    /**
     * Returns whether keys may be accepted.
     *
     * @param now the current time of a clock that counts the time in which the VM was suspended
     */
    public boolean isValid(Instant now) {
        Duration validity = mValidity;
        Instant provenAt = mProvenAt;
        return validity == null || provenAt != null && now.isBefore(provenAt.plus(validity));
    }

    /**
     * Returns the age of the latest proof, if there is one.
     *
     * @param now the current time of the same clock
     */
    public Optional<Duration> age(Instant now) {
        return Optional.ofNullable(mProvenAt).map(provenAt -> Duration.between(provenAt, now));
    }
}
