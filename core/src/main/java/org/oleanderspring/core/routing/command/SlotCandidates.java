package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.List;
import org.oleanderspring.core.fleet.EndpointId;

/** The replicas of a target, evaluated at a fixed time. */
final class SlotCandidates implements ReplicaCandidates {
    private final List<ReplicaSlot> mSlots;
    private final Instant mNow;

    SlotCandidates(List<ReplicaSlot> slots, Instant now) {
        mSlots = slots;
        mNow = now;
    }

    @Override
    public int size() {
        return mSlots.size();
    }

    @Override
    public EndpointId endpoint(int index) {
        return mSlots.get(index).endpoint().id();
    }

    @Override
    public boolean isAvailable(int index) {
        return mSlots.get(index).isAvailable(mNow);
    }

    @Override
    public int load(int index) {
        return mSlots.get(index).endpoint().load(mNow);
    }
}
