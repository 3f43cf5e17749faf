package org.oleanderspring.coordination.document.query;

import java.util.Collection;
import java.util.Set;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;

/**
 * Chooses the members whose replies stand for those of all members.
 *
 * <p>In a small group all members are witnesses, and more than half of them have to reply. A member
 * of a large group cannot hear from half of the others within the bound on contact: with two probes
 * a second it hears from about 13 in 6.5 s. There a few witnesses are chosen by rendezvous hashing,
 * digests carry the time of their last replies, and two thirds of them have to reply. Two members
 * whose member lists differ by up to two witnesses still share one: two sets of 6 out of 11 do.
 */
public final class WitnessSelection {
    private static final String RANKING_KEY = "witness";

    private final int mLimit;

    /**
     * Creates a selection.
     *
     * @param limit the largest number of witnesses
     */
    public WitnessSelection(int limit) {
        if (limit < 1) {
            throw new IllegalArgumentException("number of witnesses is not positive: " + limit);
        }
        mLimit = limit;
    }

    /**
     * Returns the witnesses.
     *
     * @param counted the peer addresses of all members that a majority is counted of
     */
    public Set<Address> witnesses(Collection<Address> counted) {
        if (counted.size() <= mLimit) {
            return Set.copyOf(counted);
        }
        return Set.copyOf(RendezvousRanking.top(RANKING_KEY, counted, Address::toString, mLimit));
    }

    /**
     * Returns whether only some members are witnesses.
     *
     * @param members the number of members that a majority is counted of
     */
    public boolean isSample(int members) {
        return members > mLimit;
    }

    /**
     * Returns how many members, including the asking one, have to be in contact.
     *
     * @param members the number of members that a majority is counted of
     */
    public int quorum(int members) {
        return isSample(members) ? mLimit * 2 / 3 : members / 2 + 1;
    }
}
