package org.oleanderspring.coordination.document.query;

import java.time.Instant;
import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;

/**
 * When a witness last replied, directly or through others.
 *
 * @param witness the peer address of the witness
 * @param repliedAt the time, on this member's clock
 */
public record WitnessContact(Address witness, Instant repliedAt) {
    /** Checks for missing parts. */
    public WitnessContact {
        Objects.requireNonNull(witness, "witness");
        Objects.requireNonNull(repliedAt, "repliedAt");
    }
}
