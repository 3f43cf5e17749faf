package org.oleanderspring.coordination.membership;

import java.util.List;
import java.util.Set;

/**
 * What a member knows of the others at one time.
 *
 * @param live the members expected to reply, in the order of their identities; contains this member
 *     until it leaves
 * @param directory the live members that take new work and are not suspected
 * @param quorumAddresses the peer addresses that a majority is counted of: the entry VMs of the
 *     last VM list and the members that are not known to have left
 */
public record MemberList(List<Member> live, List<Member> directory, Set<Address> quorumAddresses) {
    /** Copies the collections. */
    public MemberList {
        live = List.copyOf(live);
        directory = List.copyOf(directory);
        quorumAddresses = Set.copyOf(quorumAddresses);
    }
}
