package org.oleanderspring.coordination.document;

import java.time.Duration;
import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;

/**
 * The age of a witness's last reply when a digest was made. The reply was received by the sender of
 * the digest or relayed to it by other members.
 *
 * @param witness the peer address of the witness
 * @param age the age of the reply, not negative
 */
public record WitnessAge(Address witness, Duration age) {
    /** Rejects a null witness and a negative age. */
    public WitnessAge {
        Objects.requireNonNull(witness, "witness");
        if (age.isNegative()) {
            throw new IllegalArgumentException("witness age is negative: " + age);
        }
    }
}
