package org.oleanderspring.core.routing.command;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.oleanderspring.core.routing.RoutingLimits;

/** The state of the routing duty; used by its thread only. */
final class RoutingState {
    private final CallTable mCalls = new CallTable();
    private final RoutingFleetState mFleet = new RoutingFleetState();
    private final RetryBudget mRetries;
    private final RoutingTally mTally = new RoutingTally();
    private final Set<TargetState> mWaiting = new LinkedHashSet<>();
    private final Set<TargetState> mTouched = new LinkedHashSet<>();
    private RoutingLimits mLimits = RoutingLimits.DEFAULT;
    private boolean mMayDecide;
    private boolean mDrainStarted;
    private boolean mDrainEnding;

    RoutingState(RetryBudget retries) {
        mRetries = retries;
    }

    CallTable calls() {
        return mCalls;
    }

    RoutingFleetState fleet() {
        return mFleet;
    }

    RetryBudget retries() {
        return mRetries;
    }

    RoutingTally tally() {
        return mTally;
    }

    RoutingLimits limits() {
        return mLimits;
    }

    void limits(RoutingLimits limits) {
        mLimits = limits;
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

    void drainEnding() {
        mDrainEnding = true;
    }

    boolean isDrainStarted() {
        return mDrainStarted;
    }

    void drainStarted() {
        mDrainStarted = true;
    }

    void enqueue(CallState call) {
        TargetState target = call.target();
        target.queue().add(call);
        mWaiting.add(target);
        mTouched.add(target);
    }

    void dequeue(CallState call) {
        TargetState target = call.target();
        target.queue().remove(call);
        if (target.queue().isEmpty()) {
            mWaiting.remove(target);
        }
    }

    /** Marks a target whose waiting calls may be served now. */
    void touch(TargetState target) {
        mTouched.add(target);
    }

    /** Marks all targets that have waiting calls. */
    void touchWaiting() {
        mTouched.addAll(mWaiting);
    }

    /** Returns the marked targets and removes the marks. */
    List<TargetState> takeTouched() {
        if (mTouched.isEmpty()) {
            return List.of();
        }
        List<TargetState> touched = new ArrayList<>(mTouched);
        mTouched.clear();
        return touched;
    }
}
