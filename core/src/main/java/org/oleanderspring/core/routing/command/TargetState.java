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
import org.oleanderspring.core.fleet.RateLimit;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.Target;

/**
 * The waiting calls, replicas and wait estimates of one target.
 *
 * <p>A replica that leaves the routing table takes no new calls and no longer counts as capacity,
 * but it stays tracked until its running attempts have ended. The activation (the time of the last
 * request to load a replica) and the readiness estimate of a target are cleared as soon as it has
 * capacity, because they do not apply to a later load.
 */
final class TargetState {
    /**
     * Age after which a readiness estimate is ignored. Otherwise a wrong estimate could cause all
     * calls of a target to be refused permanently: a new estimate comes only with an activation
     * request, and a target without waiting calls sends none.
     */
    static final Duration ESTIMATE_VALIDITY = Duration.ofSeconds(10);

    private static final int MILLIS_PER_SECOND = 1_000;

    private final Target mTarget;
    private final CallQueue mQueue = new CallQueue();
    private final ServiceTimes mTimes = new ServiceTimes();
    private final RefusalAudit mRefusals = new RefusalAudit();

    /** The replicas in the routing table and those that still run attempts, by endpoint. */
    private final Map<EndpointId, TrackedReplica> mTracked = new LinkedHashMap<>();

    /** The replicas in the current routing table, in its order. */
    private final List<TrackedReplica> mListed = new ArrayList<>();

    /** The entries of the current routing table, kept to detect whether a new table differs. */
    private List<Replica> mTableReplicas = List.of();

    private int mCapacity;
    private int mUsedCapacity;

    /** The latest capacity above 0, which replaces a capacity of 0 in estimates; 0 if none. */
    private int mLastCapacity;

    private int mClaimingCalls;

    /** The estimated time at which a replica becomes ready, or null without an estimate. */
    private @Nullable Instant mReadyAt;

    /** When the readiness estimate was received. */
    private Instant mEstimatedAt = Instant.MIN;

    private @Nullable Instant mLastActivation;

    /** The priorities of the calls for all targets of the service. */
    private final UrgencyLevels mServiceUrgency;

    /** The priorities of the calls for this target. */
    private final UrgencyLevels mTargetUrgency = new UrgencyLevels();

    /**
     * Creates a target without replicas.
     *
     * @param target the target
     * @param urgencyLevels the priorities of the calls that compete for the same endpoints
     */
    TargetState(Target target, UrgencyLevels urgencyLevels) {
        mTarget = target;
        mServiceUrgency = urgencyLevels;
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

    RefusalAudit refusals() {
        return mRefusals;
    }

    /** Returns the replicas in the current routing table. */
    List<TrackedReplica> listedReplicas() {
        return mListed;
    }

    /** Returns the total concurrency of the replicas that accept new calls. */
    int capacity() {
        return mCapacity;
    }

    /** Returns whether the capacity is fully used. Replicas in back-off count as usable. */
    boolean isFull() {
        return mUsedCapacity >= mCapacity;
    }

    /** Returns whether a call that arrives now can be started immediately. */
    boolean hasFreeCapacity(Instant now, CallNeed need) {
        if (isFull() || !mQueue.isEmpty()) {
            return false;
        }
        for (TrackedReplica tracked : mListed) {
            if (tracked.isAvailable(now, need)) {
                return true;
            }
        }
        return false;
    }

    /** Records the priority of a call that arrived. */
    void callArrived(CallRequest request) {
        mServiceUrgency.callArrived(request);
        mTargetUrgency.callArrived(request);
    }

    /**
     * Returns whether a call is more urgent than others. An engine runs it before those, so it need
     * not wait here until they have ended. Calls of organisations compete for the endpoints of
     * their service, so all calls of the service are compared; other calls compete for their target
     * only.
     */
    private boolean isUrgent(CallRequest request) {
        return request.origin().organisation() == null
                ? mTargetUrgency.isUrgent(request)
                : mServiceUrgency.isUrgent(request);
    }

    /** Returns what a call needs of a replica. */
    CallNeed needOf(CallRequest request) {
        return new CallNeed(isUrgent(request), request.origin().tokens());
    }

    /** Returns whether the call is larger than the memory of every replica that takes calls. */
    boolean isTooLarge(CallRequest request) {
        boolean isTooLarge = false;
        for (TrackedReplica tracked : mListed) {
            if (tracked.isServing()) {
                if (tracked.endpoint().intake().memory().canHold(request.origin().tokens())) {
                    return false;
                }
                isTooLarge = true;
            }
        }
        return isTooLarge;
    }

    /** Returns the number of calls that wait for the claim of their dispatch record. */
    int claimingCalls() {
        return mClaimingCalls;
    }

    void changeClaimingCalls(int difference) {
        mClaimingCalls += difference;
    }

    /** Returns the number of admitted calls without a running attempt. */
    int pendingCalls() {
        return mQueue.size() + mClaimingCalls;
    }

    /**
     * Returns the number of running attempts, including those on replicas that are no longer
     * listed.
     */
    int running() {
        int running = 0;
        for (TrackedReplica tracked : mTracked.values()) {
            running += tracked.running();
        }
        return running;
    }

    void updateReplicas(
            List<Replica> replicas, Function<EndpointId, EndpointState> endpoints, Instant now) {
        if (replicas.equals(mTableReplicas)) {
            return;
        }
        for (TrackedReplica tracked : mListed) {
            tracked.unlist();
            tracked.endpoint().removeTarget(this, now);
        }
        mListed.clear();
        mTableReplicas = replicas;
        for (Replica replica : replicas) {
            list(replica, endpoints);
        }
        mTracked.values().removeIf(tracked -> !tracked.isListed() && tracked.running() == 0);
        recalculateCapacity();
    }

    private void list(Replica replica, Function<EndpointId, EndpointState> endpoints) {
        TrackedReplica tracked = mTracked.get(replica.endpoint());
        if (tracked == null) {
            tracked = new TrackedReplica(endpoints.apply(replica.endpoint()), replica);
            mTracked.put(replica.endpoint(), tracked);
        }
        if (tracked.isListed()) {
            // The table lists the endpoint more than once; only its first entry counts.
            return;
        }
        tracked.list(replica);
        tracked.endpoint().addTarget(this);
        mListed.add(tracked);
    }

    /** Recalculates the capacity after the state of a replica or an endpoint changed. */
    void recalculateCapacity() {
        mCapacity = 0;
        mUsedCapacity = 0;
        for (TrackedReplica tracked : mListed) {
            mCapacity += tracked.isServing() ? tracked.concurrency() : 0;
            mUsedCapacity += tracked.usedConcurrency();
        }
        if (mCapacity > 0) {
            mLastCapacity = mCapacity;
            resetActivation();
        }
    }

    /**
     * Clears the time of the last activation request and the readiness estimate, which do not apply
     * to a later load.
     */
    void resetActivation() {
        mLastActivation = null;
        mReadyAt = null;
    }

    void attemptStarted(TrackedReplica tracked) {
        mUsedCapacity -= tracked.usedConcurrency();
        tracked.changeRunning(1);
        mUsedCapacity += tracked.usedConcurrency();
    }

    void attemptEnded(TrackedReplica tracked) {
        mUsedCapacity -= tracked.usedConcurrency();
        tracked.changeRunning(-1);
        mUsedCapacity += tracked.usedConcurrency();
        if (!tracked.isListed() && tracked.running() == 0) {
            mTracked.remove(tracked.endpoint().id());
        }
    }

    void readinessEstimated(Instant readyAt, Instant now) {
        mReadyAt = readyAt;
        mEstimatedAt = now;
    }

    /**
     * Estimates how long a call waits for the first byte of its response. Unknown components count
     * as zero. With capacity, all of it is assumed to be in use, so one attempt more than the calls
     * before this one, here and at the replicas, must end. Without capacity, replicas that become
     * ready are idle.
     *
     * @param callsBefore the number of calls that are started before this one
     */
    Duration estimatedWait(int callsBefore, Instant now) {
        Duration wait = mCapacity > 0 ? Duration.ZERO : untilReady(now);
        int attemptsToEnd =
                mCapacity > 0 ? callsBefore + 1 + callsBeyondCapacity(now) : callsBefore;
        int concurrency = mCapacity > 0 ? mCapacity : mLastCapacity;
        if (concurrency > 0) {
            wait = wait.plus(mTimes.timeUntilEnded(attemptsToEnd, concurrency));
        }
        return longer(wait, untilTaken(callsBefore, now)).plus(mTimes.firstByte());
    }

    /** Returns whether the target has replicas that take calls, and all of them limit the rate. */
    boolean isRateLimited() {
        boolean isLimited = false;
        for (TrackedReplica tracked : mListed) {
            if (tracked.isServing()) {
                if (!tracked.endpoint().intake().permits().isLimited()) {
                    return false;
                }
                isLimited = true;
            }
        }
        return isLimited;
    }

    /**
     * Returns whether it is known from when on a replica takes calls: a load is estimated to end,
     * or the replicas have said what they take.
     */
    boolean hasTimetable(Instant now) {
        boolean isLoading = mCapacity == 0 && !untilReady(now).isZero();
        return isLoading || isRateLimited() || !untilPauseEnds(now).isZero();
    }

    /**
     * Returns how long the oldest waiting call has waited, if it is not known when a replica takes
     * calls: then a later one must expect as long a wait. The estimate from running calls does not
     * show that the room of the replicas goes to calls of other daemons and other targets.
     */
    Duration waitOfOldest(Instant now) {
        return hasTimetable(now) ? Duration.ZERO : Duration.between(mQueue.oldest(now), now);
    }

    /** Returns the time until the end of the first pause, if all replicas want no calls now. */
    private Duration untilPauseEnds(Instant now) {
        Instant first = Instant.MAX;
        for (TrackedReplica tracked : mListed) {
            if (tracked.isServing()) {
                Instant end = tracked.endpoint().intake().pausedUntil(now);
                first = end.isBefore(first) ? end : first;
            }
        }
        return first.equals(Instant.MAX) ? Duration.ZERO : Duration.between(now, first);
    }

    /** Returns the time until the replicas take a call, by what they have said themselves. */
    private Duration untilTaken(int callsBefore, Instant now) {
        return longer(untilPauseEnds(now), untilPermit(callsBefore, now));
    }

    /**
     * Returns the time until a call has a permit; zero if a replica needs none. Counts the calls
     * before it as those of this daemon only, so other daemons may make it longer.
     */
    private Duration untilPermit(int callsBefore, Instant now) {
        if (!isRateLimited()) {
            return Duration.ZERO;
        }
        Instant first = Instant.MAX;
        double callsPerSecond = 0;
        for (TrackedReplica tracked : mListed) {
            CallPermits permits = tracked.endpoint().intake().permits();
            RateLimit limit = permits.limit();
            if (tracked.isServing() && limit != null) {
                Instant next = permits.nextStart(now);
                first = next.isBefore(first) ? next : first;
                callsPerSecond += limit.callsPerSecond();
            }
        }
        Duration untilFirst = Duration.between(now, first);
        return untilFirst.plusMillis((long) (MILLIS_PER_SECOND * callsBefore / callsPerSecond));
    }

    private static Duration longer(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    /** Returns the number of calls of all daemons that wait at the replicas for others to end. */
    private int callsBeyondCapacity(Instant now) {
        int calls = 0;
        for (TrackedReplica tracked : mListed) {
            calls += tracked.callsOfAllDaemons(now);
        }
        return Math.max(0, calls - mCapacity);
    }

    /**
     * Returns the estimated time until a replica is ready, or until the calls that wait at full
     * replicas or for permits have begun; null if a replica has room, if there is no valid
     * estimate, or if the estimated time has passed.
     */
    @Nullable Duration readyIn(Instant now) {
        Duration wait = mCapacity > 0 ? untilRoom(now) : untilReady(now);
        Duration longest = longer(wait, untilTaken(mQueue.size(), now));
        return longest.isZero() ? null : longest;
    }

    private Duration untilRoom(Instant now) {
        int calls = callsBeyondCapacity(now);
        return calls == 0 ? Duration.ZERO : mTimes.timeUntilEnded(calls, mCapacity);
    }

    private Duration untilReady(Instant now) {
        if (mReadyAt == null || mEstimatedAt.plus(ESTIMATE_VALIDITY).isBefore(now)) {
            return Duration.ZERO;
        }
        return now.isBefore(mReadyAt) ? Duration.between(now, mReadyAt) : Duration.ZERO;
    }

    /** Returns whether an activation request is due. If so, records it as sent now. */
    boolean recordActivationIfDue(Instant now, Duration interval) {
        if (mLastActivation != null && now.isBefore(mLastActivation.plus(interval))) {
            return false;
        }
        mLastActivation = now;
        return true;
    }

    /** Returns whether the target has no admitted call, no replica and no running attempt. */
    boolean isUnused() {
        return mTracked.isEmpty() && pendingCalls() == 0;
    }
}
