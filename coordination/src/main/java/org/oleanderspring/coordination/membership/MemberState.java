package org.oleanderspring.coordination.membership;

/**
 * The state of a member. Of two states with the same incarnation, the one declared later in this
 * enum supersedes the other.
 */
public enum MemberState {
    /** The member replies to probes. */
    ALIVE,
    /** The member replies to probes but accepts no new work; the directory no longer lists it. */
    DRAINING,
    /**
     * The member did not reply to a probe; it can refute the suspicion with a higher incarnation.
     */
    SUSPECTED,
    /** The member did not refute a suspicion in time. */
    FAILED,
    /** The member announced that it is stopping. */
    LEFT;

    /** Returns whether the member is expected to reply to messages. */
    public boolean isLive() {
        return this == ALIVE || this == DRAINING || this == SUSPECTED;
    }
}
