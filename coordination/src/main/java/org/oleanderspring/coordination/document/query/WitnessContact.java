package org.oleanderspring.coordination.document.query;

import java.time.Instant;
import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;

/**
 * The time of a witness's last reply, received directly or relayed by other members.
 *
 * @param witness the peer address of the witness
 * @param repliedAt the time of the reply, on this member's clock
 */
public record WitnessContact(Address witness, Instant repliedAt) {
    /** Rejects null components. */
    public WitnessContact {
        Objects.requireNonNull(witness, "witness");
        Objects.requireNonNull(repliedAt, "repliedAt");
    }
}
