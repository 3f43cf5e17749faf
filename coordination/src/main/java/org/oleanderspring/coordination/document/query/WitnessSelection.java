package org.oleanderspring.coordination.document.query;

import java.util.Collection;
import java.util.Set;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;

/**
 * Selects the witnesses: the members from which a quorum has to reply instead of a majority of all
 * members.
 *
 * <p>In a small group all members are witnesses, and more than half of them have to reply. In a
 * large group a member cannot receive replies from half of the others within the contact bound:
 * with two probes a second it receives about 13 replies in 6.5 s. There, a few witnesses are
 * selected by rendezvous hashing, digests carry the ages of their last replies, and two thirds of
 * them have to reply. The quorums of two members whose member lists differ by up to two witnesses
 * still intersect: any two sets of 6 out of 11 share a member.
 */
public final class WitnessSelection {
    private static final String RANKING_KEY = "witness";

    private final int mMaxWitnesses;

    /**
     * Creates a selection.
     *
     * @param maxWitnesses the largest number of witnesses
     */
    public WitnessSelection(int maxWitnesses) {
        if (maxWitnesses < 1) {
            throw new IllegalArgumentException(
                    "largest number of witnesses is not positive: " + maxWitnesses);
        }
        mMaxWitnesses = maxWitnesses;
    }

    /**
     * Returns the peer addresses of the witnesses.
     *
     * @param quorumAddresses the peer addresses over which a majority is computed
     */
    public Set<Address> witnesses(Collection<Address> quorumAddresses) {
        if (quorumAddresses.size() <= mMaxWitnesses) {
            return Set.copyOf(quorumAddresses);
        }
        return Set.copyOf(
                RendezvousRanking.top(
                        RANKING_KEY, quorumAddresses, Address::toString, mMaxWitnesses));
    }

    /**
     * Returns whether the witnesses are only a sample of the members.
     *
     * @param members the number of members over which a majority is computed
     */
    public boolean isSampled(int members) {
        return members > mMaxWitnesses;
    }

    /**
     * Returns the quorum size: how many witnesses, including the member itself if it is one, have
     * to be in contact.
     *
     * @param members the number of members over which a majority is computed
     */
    public int quorum(int members) {
        return isSampled(members) ? mMaxWitnesses * 2 / 3 : members / 2 + 1;
    }
}
