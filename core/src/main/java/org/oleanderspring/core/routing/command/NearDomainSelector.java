package org.oleanderspring.core.routing.command;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.routing.CallRequest;

/**
 * Keeps a call in the failure domain of this daemon unless leaving it pays.
 *
 * <p>The call leaves for another domain if the average work at the available replicas here exceeds
 * that over there by more than the price. Work is expected time, as {@link EndpointPace} weighs it;
 * a prompt prefix that a replica over there keeps counts as {@link #PREFIX_GAIN}. Another selector
 * chooses among the replicas of the domain.
 *
 * <p>All daemons decide apart on reports that are late. If all compared with the same price, all
 * would send their calls to the same free domain as soon as a report shows it, and back with the
 * next one. Of the calls for which the gain exceeds the price, only a share leaves therefore, which
 * grows with the gain: all of them leave at a gain of the concurrency of an endpoint beyond the
 * price. The averages of domains vary less than the work at single endpoints, which every daemon
 * would see as the least. No call leaves for a domain whose replicas are full, because it would
 * wait there as well, and by a late report full domains only exchange their calls.
 */
public final class NearDomainSelector implements EndpointSelector {
    /** The work that a kept prompt prefix saves, in calls at an endpoint. */
    private static final double PREFIX_GAIN = 1;

    private final FailureDomain mDomain;
    private final double mPrice;
    private final EndpointSelector mSelector;

    /**
     * Creates a selector.
     *
     * @param domain the failure domain of this daemon
     * @param price the work from which on leaving the domain pays, in calls at an endpoint of usual
     *     pace; 0 if domains do not matter
     * @param selector chooses among replicas
     */
    public NearDomainSelector(FailureDomain domain, double price, EndpointSelector selector) {
        if (!(price >= 0)) {
            throw new IllegalArgumentException("price is negative: " + price);
        }
        mDomain = domain;
        mPrice = price;
        mSelector = selector;
    }

    @Override
    public Optional<EndpointChoice> select(CallRequest call, ReplicaCandidates candidates) {
        Optional<EndpointChoice> any = mSelector.select(call, candidates);
        if (mPrice == 0 || any.isEmpty() || isNear(any.get(), candidates)) {
            return any;
        }
        Map<FailureDomain, DomainWork> domains = domains(candidates);
        DomainWork own = domains.remove(mDomain);
        if (own == null) {
            return leave(any, "none available in own domain");
        }
        FailureDomain prefixDomain =
                call.prefixHash() == 0 ? null : candidates.failureDomain(any.get().index());
        double share = RendezvousHash.fraction(call.id().value());
        FailureDomain best = null;
        double bestGain = mPrice + share * own.concurrency();
        for (Map.Entry<FailureDomain, DomainWork> other : domains.entrySet()) {
            double gain =
                    own.average()
                            - other.getValue().average()
                            + (other.getKey().equals(prefixDomain) ? PREFIX_GAIN : 0);
            if (gain > bestGain && other.getValue().hasRoom()) {
                best = other.getKey();
                bestGain = gain;
            }
        }
        return best == null
                ? mSelector.select(call, new NearDomainCandidates(candidates, mDomain))
                : leave(
                        mSelector.select(call, new NearDomainCandidates(candidates, best)),
                        "less work in other domain");
    }

    private static Map<FailureDomain, DomainWork> domains(ReplicaCandidates candidates) {
        Map<FailureDomain, DomainWork> domains = new HashMap<>();
        for (int i = 0; i < candidates.size(); i++) {
            FailureDomain domain = candidates.failureDomain(i);
            if (domain != null && candidates.isAvailable(i)) {
                domains.computeIfAbsent(domain, name -> new DomainWork())
                        .add(candidates.load(i), candidates.concurrency(i));
            }
        }
        return domains;
    }

    private boolean isNear(EndpointChoice choice, ReplicaCandidates candidates) {
        return mDomain.equals(candidates.failureDomain(choice.index()));
    }

    private static Optional<EndpointChoice> leave(Optional<EndpointChoice> choice, String reason) {
        return choice.map(found -> new EndpointChoice(found.index(), reason));
    }

    /** The work at the available replicas of one domain. */
    private static final class DomainWork {
        private double mWork;
        private double mConcurrency;
        private int mReplicas;

        void add(double work, int concurrency) {
            mWork += work;
            mConcurrency += concurrency;
            mReplicas++;
        }

        double average() {
            return mWork / mReplicas;
        }

        /** Returns whether a further call would begin at once at the average replica. */
        boolean hasRoom() {
            return mWork < mConcurrency;
        }

        double concurrency() {
            return mConcurrency / mReplicas;
        }
    }
}
