package org.oleanderspring.core.routing.command;

import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.FailureDomain;

/** Replicas of which only those in one failure domain are available. */
final class NearDomainCandidates implements ReplicaCandidates {
    private final ReplicaCandidates mAll;
    private final FailureDomain mDomain;

    NearDomainCandidates(ReplicaCandidates all, FailureDomain domain) {
        mAll = all;
        mDomain = domain;
    }

    @Override
    public int size() {
        return mAll.size();
    }

    @Override
    public EndpointId endpoint(int index) {
        return mAll.endpoint(index);
    }

    @Override
    public boolean isAvailable(int index) {
        return mDomain.equals(mAll.failureDomain(index)) && mAll.isAvailable(index);
    }

    @Override
    public double load(int index) {
        return mAll.load(index);
    }

    @Override
    public int concurrency(int index) {
        return mAll.concurrency(index);
    }

    @Override
    public @Nullable FailureDomain failureDomain(int index) {
        return mAll.failureDomain(index);
    }
}
