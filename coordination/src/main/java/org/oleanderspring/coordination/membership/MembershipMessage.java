package org.oleanderspring.coordination.membership;

import java.util.List;
import java.util.Objects;

/** A membership protocol message between two members. */
public sealed interface MembershipMessage {
    /** Returns the number that correlates a reply with its request. */
    long sequence();

    /** Returns the member that created the message, as it describes itself. */
    Member sender();

    /** Returns the membership updates that the message carries. */
    List<Member> updates();

    /** Returns the encoded digest of the sender's documents; not interpreted by membership. */
    byte[] digest();

    /**
     * Requests an acknowledgement.
     *
     * @param sequence the sender's number of the probe
     * @param sender the probing member
     * @param wantsMembers whether the reply should list further members
     * @param updates the membership updates of the sender
     * @param digest the encoded digest of the sender's documents
     */
    record Probe(
            long sequence, Member sender, boolean wantsMembers, List<Member> updates, byte[] digest)
            implements MembershipMessage {
        /** Rejects null components and copies the updates. */
        public Probe {
            Objects.requireNonNull(sender, "sender");
            Objects.requireNonNull(digest, "digest");
            updates = List.copyOf(updates);
        }
    }

    /**
     * Requests that the receiver probes another member and forwards its acknowledgement (the
     * indirect probe of SWIM).
     *
     * @param sequence the sender's number of its own probe of that member
     * @param sender the requesting member
     * @param target the peer address of the member to probe
     * @param updates the membership updates of the sender
     * @param digest the encoded digest of the sender's documents
     */
    record ProbeRequest(
            long sequence, Member sender, Address target, List<Member> updates, byte[] digest)
            implements MembershipMessage {
        /** Rejects null components and copies the updates. */
        public ProbeRequest {
            Objects.requireNonNull(sender, "sender");
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(digest, "digest");
            updates = List.copyOf(updates);
        }
    }

    /**
     * The reply to a probe.
     *
     * @param sequence the number of the probe
     * @param sender the member that was probed, also if another member forwards the message
     * @param updates the membership updates of the sender
     * @param digest the encoded digest of the sender's documents
     */
    record Acknowledgement(long sequence, Member sender, List<Member> updates, byte[] digest)
            implements MembershipMessage {
        /** Rejects null components and copies the updates. */
        public Acknowledgement {
            Objects.requireNonNull(sender, "sender");
            Objects.requireNonNull(digest, "digest");
            updates = List.copyOf(updates);
        }

        /**
         * Returns a copy of this message that replies to another probe.
         *
         * @param otherSequence the number of that probe
         */
        public Acknowledgement withSequence(long otherSequence) {
            return new Acknowledgement(otherSequence, sender, updates, digest);
        }
    }
}
