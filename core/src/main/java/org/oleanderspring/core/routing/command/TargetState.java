package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.Target;

/** The waiting calls, replicas and wait estimates of one target. */
final class TargetState {
    /**
     * Age after which a readiness estimate is ignored. Otherwise a wrong estimate could cause all
     * calls of a target to be refused for good: a new estimate comes only with a wake request, and
     * a target without waiting calls sends none.
     */
    static final Duration ESTIMATE_VALIDITY = Duration.ofSeconds(10);

    private final Target mTarget;
    private final CallQueue mQueue = new CallQueue();
    private final ServiceTimes mTimes = new ServiceTimes();
    private final Map<EndpointId, ReplicaSlot> mSlots = new LinkedHashMap<>();
    private final List<ReplicaSlot> mListed = new ArrayList<>();
    private List<Replica> mReplicas = List.of();
    private int mCapacity;
    private int mBusy;
    private int mUsualCapacity;
    private int mClaiming;
    private @Nullable Instant mReadyAt;
    private Instant mEstimatedAt = Instant.MIN;
    private @Nullable Instant mLastWake;

    TargetState(Target target) {
        mTarget = target;
    }

    Target target() {
        return mTarget;
    }

    CallQueue queue() {
        return mQueue;
    }

    ServiceTimes times() {
        return mTimes;
    }

    /** Returns the replicas in the current routing table. */
    List<ReplicaSlot> listed() {
        return mListed;
    }

    /** Returns the total concurrency of the replicas that accept new calls. */
    int capacity() {
        return mCapacity;
    }

    /** Returns whether the capacity is fully used. Replicas in back-off count as usable. */
    boolean isFull() {
        return mBusy >= mCapacity;
    }

    /** Returns whether a call that arrives now can be started immediately. */
    boolean hasFreePlace(Instant now) {
        if (isFull() || !mQueue.isEmpty()) {
            return false;
        }
        for (ReplicaSlot slot : mListed) {
            if (slot.isAvailable(now)) {
                return true;
            }
        }
        return false;
    }

    int claiming() {
        return mClaiming;
    }

    void changeClaiming(int difference) {
        mClaiming += difference;
    }

    /** Returns the number of admitted calls without a running attempt. */
    int admitted() {
        return mQueue.size() + mClaiming;
    }

    /**
     * Returns the number of running attempts, including those on replicas that are no longer
     * listed.
     */
    int running() {
        int running = 0;
        for (ReplicaSlot slot : mSlots.values()) {
            running += slot.running();
        }
        return running;
    }

    void relist(
            List<Replica> replicas, Function<EndpointId, EndpointState> endpoints, Instant now) {
        if (replicas.equals(mReplicas)) {
            return;
        }
        for (ReplicaSlot slot : mListed) {
            slot.unlist();
            slot.endpoint().unlisted(this, now);
        }
        mListed.clear();
        mReplicas = replicas;
        for (Replica replica : replicas) {
            list(replica, endpoints);
        }
        mSlots.values().removeIf(slot -> !slot.isListed() && slot.running() == 0);
        recount();
    }

    private void list(Replica replica, Function<EndpointId, EndpointState> endpoints) {
        ReplicaSlot slot = mSlots.get(replica.endpoint());
        if (slot == null) {
            slot = new ReplicaSlot(endpoints.apply(replica.endpoint()), replica);
            mSlots.put(replica.endpoint(), slot);
        }
        if (slot.isListed()) {
            return;
        }
        slot.list(replica);
        slot.endpoint().listed(this);
        mListed.add(slot);
    }

    /** Recalculates the capacity after the state of a replica or an endpoint changed. */
    void recount() {
        mCapacity = 0;
        mBusy = 0;
        for (ReplicaSlot slot : mListed) {
            mCapacity += slot.isServing() ? slot.concurrency() : 0;
            mBusy += slot.busy();
        }
        if (mCapacity > 0) {
            mUsualCapacity = mCapacity;
            forgetLoading();
        }
    }

    /**
     * Clears the time of the last wake request and the readiness estimate, which do not apply to a
     * later load.
     */
    void forgetLoading() {
        mLastWake = null;
        mReadyAt = null;
    }

    void started(ReplicaSlot slot) {
        mBusy -= slot.busy();
        slot.changeRunning(1);
        mBusy += slot.busy();
    }

    void ended(ReplicaSlot slot) {
        mBusy -= slot.busy();
        slot.changeRunning(-1);
        mBusy += slot.busy();
        if (!slot.isListed() && slot.running() == 0) {
            mSlots.remove(slot.endpoint().id());
        }
    }

    void estimated(Instant readyAt, Instant now) {
        mReadyAt = readyAt;
        mEstimatedAt = now;
    }

    /**
     * Estimates how long a call waits for the first byte of its response. Unknown components count
     * as zero.
     */
    Duration estimatedWait(int callsBefore, Instant now) {
        Duration wait = mCapacity > 0 ? Duration.ZERO : untilReady(now);
        int ends = mCapacity > 0 ? callsBefore + 1 : callsBefore;
        int concurrency = mCapacity > 0 ? mCapacity : mUsualCapacity;
        if (concurrency > 0) {
            wait = wait.plus(mTimes.untilEnds(ends, concurrency));
        }
        return wait.plus(mTimes.firstByte());
    }

    /**
     * Returns the estimated time until a replica is ready; null if it is unknown or a replica is
     * ready.
     */
    @Nullable Duration readyIn(Instant now) {
        Duration wait = mCapacity > 0 ? Duration.ZERO : untilReady(now);
        return wait.isZero() ? null : wait;
    }

    private Duration untilReady(Instant now) {
        if (mReadyAt == null || mEstimatedAt.plus(ESTIMATE_VALIDITY).isBefore(now)) {
            return Duration.ZERO;
        }
        return now.isBefore(mReadyAt) ? Duration.between(now, mReadyAt) : Duration.ZERO;
    }

    /** Returns whether a wake request is due. If so, records it as sent now. */
    boolean takeWake(Instant now, Duration repeat) {
        if (mLastWake != null && now.isBefore(mLastWake.plus(repeat))) {
            return false;
        }
        mLastWake = now;
        return true;
    }

    /** Returns whether the target has no admitted call, no replica and no running attempt. */
    boolean isUnused() {
        return mSlots.isEmpty() && admitted() == 0;
    }
}
