package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.List;
import org.oleanderspring.core.fleet.EndpointId;

/** The replicas of a target, evaluated at a fixed time. */
final class TrackedReplicaCandidates implements ReplicaCandidates {
    private final List<TrackedReplica> mReplicas;
    private final Instant mNow;

    TrackedReplicaCandidates(List<TrackedReplica> replicas, Instant now) {
        mReplicas = replicas;
        mNow = now;
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
        return mReplicas.get(index).isAvailable(mNow);
    }

    @Override
    public int load(int index) {
        return mReplicas.get(index).endpoint().equivalentCalls(mNow);
    }

    @Override
    public int concurrency(int index) {
        return mReplicas.get(index).concurrency();
    }
}
