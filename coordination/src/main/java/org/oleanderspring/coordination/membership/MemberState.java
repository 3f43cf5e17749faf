package org.oleanderspring.coordination.membership;

/**
 * What is known of a member. Of two states with the same incarnation, the one declared later here
 * replaces the other.
 */
public enum MemberState {
    /** It replies to probes. */
    ALIVE,
    /** It replies to probes and takes no new work; a directory no longer lists it. */
    DRAINING,
    /** It did not reply to a probe; it may refute this with a higher incarnation. */
    SUSPECTED,
    /** It did not refute a suspicion in time. */
    FAILED,
    /** It announced that it stops. */
    LEFT;

    /** Returns whether the member is expected to reply to messages. */
    public boolean isLive() {
        return this == ALIVE || this == DRAINING || this == SUSPECTED;
    }
}
