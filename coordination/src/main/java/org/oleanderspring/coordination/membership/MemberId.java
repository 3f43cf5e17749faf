package org.oleanderspring.coordination.membership;

import java.util.Objects;

/**
 * The identity of one process run of a member; a restarted process has a new identity.
 *
 * @param value the identity
 */
public record MemberId(String value) implements Comparable<MemberId> {
    /** Rejects a blank identity. */
    public MemberId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("member id is blank");
        }
    }

    @Override
    public int compareTo(MemberId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
