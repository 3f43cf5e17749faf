package org.oleanderspring.coordination.membership;

import java.util.Objects;

/**
 * What one member knows of another.
 *
 * @param id the run of the process
 * @param peerAddress where it takes messages of other members
 * @param callerAddress where it takes calls
 * @param failureDomain the name of its failure domain
 * @param incarnation raised by the member itself to refute or replace what is said about it
 * @param state what is known of it
 */
public record Member(
        MemberId id,
        Address peerAddress,
        Address callerAddress,
        String failureDomain,
        long incarnation,
        MemberState state) {
    /** Checks for missing parts and the range of the incarnation. */
    public Member {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(state, "state");
        if (incarnation < 0) {
            throw new IllegalArgumentException("incarnation is negative: " + incarnation);
        }
    }

    /**
     * Returns the same member in another state.
     *
     * @param newState the state
     */
    public Member withState(MemberState newState) {
        return with(incarnation, newState);
    }

    /**
     * Returns the same member in another incarnation and state.
     *
     * @param newIncarnation the incarnation
     * @param newState the state
     */
    public Member with(long newIncarnation, MemberState newState) {
        return new Member(id, peerAddress, callerAddress, failureDomain, newIncarnation, newState);
    }

    /**
     * Returns whether this knowledge replaces other knowledge of the same member.
     *
     * <p>Leaving is final, because a restarted process has a new identity. Otherwise the higher
     * incarnation counts, and within one incarnation the later state.
     *
     * @param other what was known before
     */
    public boolean replaces(Member other) {
        if (other.state == MemberState.LEFT) {
            return false;
        }
        if (state == MemberState.LEFT) {
            return true;
        }
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.compareTo(other.state) > 0;
    }
}
