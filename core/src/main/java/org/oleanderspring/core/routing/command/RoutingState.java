package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.oleanderspring.core.routing.RoutingLimits;

/** The routing state of one daemon. Accessed only by the thread that owns it. */
final class RoutingState {
    /** Factor on the average time of a call, because a few calls take several times as long. */
    private static final int END_MARGIN = 2;

    private final CallTable mCalls = new CallTable();
    private final RoutingFleetState mFleet = new RoutingFleetState();
    private final UsualTimes mUsualTimes = new UsualTimes();
    private final RetryBudget mRetryBudget;
    private final OrganisationShares mShares = new OrganisationShares();
    private final RoutingStatistics mStatistics = new RoutingStatistics();
    private final Set<TargetState> mWaitingTargets = new LinkedHashSet<>();
    private final Set<TargetState> mMarkedForDispatch = new LinkedHashSet<>();
    private RoutingLimits mLimits = RoutingLimits.DEFAULT;
    private final QuarantineGate mQuarantine = new QuarantineGate();
    private boolean mMayDecide;
    private boolean mDrainStarted;

    /** When the daemon will end; the latest time if that is not known. */
    private Instant mEndsAt = Instant.MAX;

    private boolean mDrainEnding;

    RoutingState(RetryBudget retryBudget) {
        mRetryBudget = retryBudget;
    }

    CallTable calls() {
        return mCalls;
    }

    RoutingFleetState fleet() {
        return mFleet;
    }

    UsualTimes usualTimes() {
        return mUsualTimes;
    }

    RetryBudget retryBudget() {
        return mRetryBudget;
    }

    RoutingStatistics statistics() {
        return mStatistics;
    }

    RoutingLimits limits() {
        return mLimits;
    }

    void limits(RoutingLimits limits) {
        mLimits = limits;
    }

    QuarantineGate quarantine() {
        return mQuarantine;
    }

    boolean mayDecide() {
        return mMayDecide;
    }

    void mayDecide(boolean mayDecide) {
        mMayDecide = mayDecide;
    }

    boolean isDrainEnding() {
        return mDrainEnding;
    }

    /** From now on, waiting calls are refused instead of started. */
    void endDrain() {
        mDrainEnding = true;
    }

    /** Sets the time at which the daemon will end. */
    void endsAt(Instant endsAt) {
        mEndsAt = endsAt;
    }

    /**
     * Returns whether a call that starts now would probably still run when the daemon ends. A
     * stream that is resumed is in any case better served by another attempt.
     */
    boolean mayOutliveDaemon(CallState call, Instant now) {
        if (mEndsAt.equals(Instant.MAX) || call.hasResponseBegun()) {
            return false;
        }
        Duration needed = mUsualTimes.total(call).multipliedBy(END_MARGIN);
        return now.plus(needed).isAfter(mEndsAt);
    }

    boolean isDrainStarted() {
        return mDrainStarted;
    }

    /** From now on, new calls are refused; admitted calls are still served. */
    void startDrain() {
        mDrainStarted = true;
    }

    OrganisationShares shares() {
        return mShares;
    }

    void enqueue(CallState call) {
        TargetState target = call.target();
        if (call.attempts() == 0) {
            call.rank(mShares.rank(call.request()));
        }
        target.queue().add(call);
        mWaitingTargets.add(target);
        mMarkedForDispatch.add(target);
    }

    void dequeue(CallState call) {
        TargetState target = call.target();
        target.queue().remove(call);
        if (target.queue().isEmpty()) {
            mWaitingTargets.remove(target);
        }
    }

    /** Returns a copy of the set of targets with waiting calls. */
    List<TargetState> waitingTargets() {
        return List.copyOf(mWaitingTargets);
    }

    /** Marks a target for dispatch, because its waiting calls may be startable now. */
    void markForDispatch(TargetState target) {
        mMarkedForDispatch.add(target);
    }

    /** Marks all targets with waiting calls for dispatch. */
    void markWaitingForDispatch() {
        mMarkedForDispatch.addAll(mWaitingTargets);
    }

    /** Returns the targets marked for dispatch and clears the marks. */
    List<TargetState> takeMarkedForDispatch() {
        if (mMarkedForDispatch.isEmpty()) {
            return List.of();
        }
        List<TargetState> marked = new ArrayList<>(mMarkedForDispatch);
        mMarkedForDispatch.clear();
        return marked;
    }
}
