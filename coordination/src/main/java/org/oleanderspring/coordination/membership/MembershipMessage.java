package org.oleanderspring.coordination.membership;

import java.util.List;
import java.util.Objects;

/** A message between two members about membership. */
public sealed interface MembershipMessage {
    /** Returns the number that links a reply to its request. */
    long sequence();

    /** Returns who made the message, as it describes itself. */
    Member sender();

    /** Returns what the message says about members. */
    List<Member> updates();

    /** Returns what the sender says about its documents; not interpreted by membership. */
    byte[] digest();

    /**
     * Asks for an acknowledgement.
     *
     * @param sequence the sender's number of the probe
     * @param sender who probes
     * @param wantsMembers whether the reply should name further members
     * @param updates what the sender knows of members
     * @param digest what the sender says about its documents
     */
    record Probe(
            long sequence, Member sender, boolean wantsMembers, List<Member> updates, byte[] digest)
            implements MembershipMessage {
        /** Checks for missing parts. */
        public Probe {
            Objects.requireNonNull(sender, "sender");
            Objects.requireNonNull(digest, "digest");
            updates = List.copyOf(updates);
        }
    }

    /**
     * Asks the receiver to probe another member and to pass its acknowledgement on.
     *
     * @param sequence the sender's number of its own probe of that member
     * @param sender who asks
     * @param target the peer address of the member to probe
     * @param updates what the sender knows of members
     * @param digest what the sender says about its documents
     */
    record ProbeRequest(
            long sequence, Member sender, Address target, List<Member> updates, byte[] digest)
            implements MembershipMessage {
        /** Checks for missing parts. */
        public ProbeRequest {
            Objects.requireNonNull(sender, "sender");
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(digest, "digest");
            updates = List.copyOf(updates);
        }
    }

    /**
     * Replies to a probe.
     *
     * @param sequence the number of the probe that it replies to
     * @param sender the member that was probed, also if another member passes the message on
     * @param updates what the sender knows of members
     * @param digest what the sender says about its documents
     */
    record Acknowledgement(long sequence, Member sender, List<Member> updates, byte[] digest)
            implements MembershipMessage {
        /** Checks for missing parts. */
        public Acknowledgement {
            Objects.requireNonNull(sender, "sender");
            Objects.requireNonNull(digest, "digest");
            updates = List.copyOf(updates);
        }

        /**
         * Returns the same message as the reply to another probe.
         *
         * @param otherSequence the number of that probe
         */
        public Acknowledgement withSequence(long otherSequence) {
            return new Acknowledgement(otherSequence, sender, updates, digest);
        }
    }
}
