package org.oleanderspring.coordination.document;

import java.time.Duration;
import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;

/**
 * How long before a digest was made its sender last knew a witness to reply, directly or through
 * others.
 *
 * @param witness the peer address of the witness
 * @param age the time
 */
public record WitnessAge(Address witness, Duration age) {
    /** Checks the range. */
    public WitnessAge {
        Objects.requireNonNull(witness, "witness");
        if (age.isNegative()) {
            throw new IllegalArgumentException("witness age is negative: " + age);
        }
    }
}
