package org.oleanderspring.coordination.membership;

import java.util.List;
import java.util.Set;

/**
 * A snapshot of the members that one member knows.
 *
 * @param live the members expected to reply, in the order of their identities; contains this member
 *     until it leaves
 * @param acceptingMembers the live members that accept new work and are not suspected
 * @param quorumAddresses the peer addresses over which a majority is computed: the entry VMs of the
 *     last VM list and the members that are not known to have left
 */
public record MemberList(
        List<Member> live, List<Member> acceptingMembers, Set<Address> quorumAddresses) {
    /** Copies the collections; null elements are rejected. */
    public MemberList {
        live = List.copyOf(live);
        acceptingMembers = List.copyOf(acceptingMembers);
        quorumAddresses = Set.copyOf(quorumAddresses);
    }
}
