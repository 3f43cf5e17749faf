package org.oleanderspring.coordination.membership;

import java.util.Objects;

/**
 * What one member knows about another member.
 *
 * @param id the identity of the process run
 * @param peerAddress where it receives messages of other members
 * @param callerAddress where it accepts calls
 * @param failureDomain the name of its failure domain
 * @param incarnation a version number that only the member itself increases, to refute a suspicion
 *     or to announce a new state
 * @param state the last known state
 */
public record Member(
        MemberId id,
        Address peerAddress,
        Address callerAddress,
        String failureDomain,
        long incarnation,
        MemberState state) {
    /** Rejects null components and a negative incarnation. */
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
     * Returns this member with another state.
     *
     * @param newState the state
     */
    public Member withState(MemberState newState) {
        return with(incarnation, newState);
    }

    /**
     * Returns this member with another incarnation and state.
     *
     * @param newIncarnation the incarnation
     * @param newState the state
     */
    public Member with(long newIncarnation, MemberState newState) {
        return new Member(id, peerAddress, callerAddress, failureDomain, newIncarnation, newState);
    }

    /**
     * Returns whether this description supersedes another description of the same member.
     *
     * <p>{@link MemberState#LEFT} is final, because a restarted process has a new identity.
     * Otherwise the higher incarnation supersedes the lower one, and within one incarnation the
     * state declared later in {@link MemberState} supersedes the earlier one.
     *
     * @param other the description known before
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
