package org.oleanderspring.coordination.membership.command;

import java.util.List;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MembershipMessage;

/** An input of {@link MembershipDecider}. */
public sealed interface MembershipEvent {
    /**
     * A message from another member arrived.
     *
     * @param message the message
     */
    record MessageReceived(MembershipMessage message) implements MembershipEvent {}

    /**
     * The VM list was read.
     *
     * @param seeds the peer addresses of the entry VMs that are not leaving
     */
    record SeedsListed(List<Address> seeds) implements MembershipEvent {
        /** Copies the list; null elements are rejected. */
        public SeedsListed {
            seeds = List.copyOf(seeds);
        }
    }

    /** This member stops accepting new work. */
    record DrainRequested() implements MembershipEvent {}

    /** This member is stopping and announces that it leaves. */
    record LeaveRequested() implements MembershipEvent {}

    /** Periodic timer tick; must occur several times within each acknowledgement timeout. */
    record TimerFired() implements MembershipEvent {}
}
