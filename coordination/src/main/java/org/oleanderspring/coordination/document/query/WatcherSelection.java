package org.oleanderspring.coordination.document.query;

import java.util.Collection;
import java.util.List;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;

/**
 * Selects by rendezvous hashing which members watch a document at the key-value service: in each
 * failure domain those with the highest weights for the document. A member needs only its member
 * list to determine whether it is one of them.
 */
public final class WatcherSelection {
    private final int mPerDomain;

    /**
     * Creates a selection.
     *
     * @param perDomain the number of watchers in each failure domain
     */
    public WatcherSelection(int perDomain) {
        mPerDomain = perDomain;
    }

    /**
     * Returns whether a member watches a document.
     *
     * @param name the document
     * @param self the member
     * @param live the live members; may contain the member itself
     */
    public boolean isWatcher(DocumentName name, Member self, Collection<Member> live) {
        List<String> otherIds =
                live.stream()
                        .filter(member -> member.failureDomain().equals(self.failureDomain()))
                        .map(member -> member.id().value())
                        .filter(id -> !id.equals(self.id().value()))
                        .distinct()
                        .toList();
        long ownWeight = RendezvousRanking.weight(name.value(), self.id().value());
        long higherRanked =
                otherIds.stream()
                        .filter(id -> RendezvousRanking.weight(name.value(), id) > ownWeight)
                        .count();
        return higherRanked < mPerDomain;
    }
}
