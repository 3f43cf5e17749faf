package org.oleanderspring.coordination.membership.command;

import java.util.List;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MembershipMessage;

/** Something that membership has to react to. */
public sealed interface MembershipEvent {
    /**
     * A message of another member arrived.
     *
     * @param message the message
     */
    record MessageReceived(MembershipMessage message) implements MembershipEvent {}

    /**
     * The VM list was read.
     *
     * @param entries the peer addresses of the entry VMs that are not leaving
     */
    record SeedsListed(List<Address> entries) implements MembershipEvent {
        /** Copies the list. */
        public SeedsListed {
            entries = List.copyOf(entries);
        }
    }

    /** This member takes no new work from now on. */
    record DrainRequested() implements MembershipEvent {}

    /** This member stops. */
    record LeaveRequested() implements MembershipEvent {}

    /** Time has passed; to be sent several times in each acknowledgement timeout. */
    record TimerFired() implements MembershipEvent {}
}
