package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.FailureDomain;

/** The replicas of a target, evaluated at a fixed time for a call of a given urgency. */
final class TrackedReplicaCandidates implements ReplicaCandidates {
    private final List<TrackedReplica> mReplicas;
    private final Instant mNow;
    private final CallNeed mNeed;

    TrackedReplicaCandidates(List<TrackedReplica> replicas, Instant now, CallNeed need) {
        mReplicas = replicas;
        mNow = now;
        mNeed = need;
    }

    @Override
    public int size() {
        return mReplicas.size();
    }

    @Override
    public EndpointId endpoint(int index) {
        return mReplicas.get(index).endpoint().id();
    }

    @Override
    public boolean isAvailable(int index) {
        return mReplicas.get(index).isAvailable(mNow, mNeed);
    }

    @Override
    public double load(int index) {
        return mReplicas.get(index).endpoint().equivalentCalls(mNow);
    }

    @Override
    public int concurrency(int index) {
        return mReplicas.get(index).concurrency();
    }

    @Override
    public @Nullable FailureDomain failureDomain(int index) {
        return mReplicas.get(index).failureDomain();
    }
}
