package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.Target;

/** Starts waiting calls on free replicas, and wakes models that have no replica. */
final class Dispatcher {
    private final RoutingState mState;
    private final EndpointSelector mSelector;
    private final OverloadPolicy mPolicy;
    private final AttemptControl mAttempts;
    private final CallCloser mCloser;

    Dispatcher(
            RoutingState state,
            EndpointSelector selector,
            OverloadPolicy policy,
            AttemptControl attempts,
            CallCloser closer) {
        mState = state;
        mSelector = selector;
        mPolicy = policy;
        mAttempts = attempts;
        mCloser = closer;
    }

    void dispatchTouched(RoutingTurn turn) {
        for (TargetState target : mState.takeTouched()) {
            if (mState.fleet().isKnown(target.target())) {
                startWaiting(target, turn);
                wake(target, turn);
            } else {
                refuseWaiting(target, turn);
            }
        }
    }

    private void startWaiting(TargetState target, RoutingTurn turn) {
        CallState call = target.queue().first();
        while (call != null && startOne(call, target, turn)) {
            call = target.queue().first();
        }
    }

    /**
     * Asks the policy only while another call waits for the place. The last waiting call is always
     * started, so an estimate that is too high is corrected by its answer.
     */
    private boolean isWorthStarting(CallState call, TargetState target, RoutingTurn turn) {
        Duration remaining = Duration.between(turn.now(), call.request().beginBy());
        return target.queue().size() == 1
                || mPolicy.isWorthStarting(call.request(), remaining, target.times().firstByte());
    }

    /** Starts or refuses the first waiting call; returns whether the next one may follow. */
    private boolean startOne(CallState call, TargetState target, RoutingTurn turn) {
        if (target.isFull()) {
            return false;
        }
        if (!isWorthStarting(call, target, turn)) {
            mCloser.refuse(call, RefusalReason.DEADLINE_TOO_SHORT, turn);
            return true;
        }
        Optional<EndpointChoice> choice =
                mSelector.select(call.request(), new SlotCandidates(target.listed(), turn.now()));
        if (choice.isEmpty()) {
            return false;
        }
        ReplicaSlot slot = target.listed().get(choice.get().index());
        if (!slot.isAvailable(turn.now())) {
            return false;
        }
        mAttempts.start(call, slot, choice.get().reason(), turn);
        return true;
    }

    private void wake(TargetState target, RoutingTurn turn) {
        CallState first = target.queue().first();
        if (first == null || target.capacity() > 0) {
            return;
        }
        if (target.target() instanceof Target.ServiceTarget
                || !target.takeWake(turn.now(), mState.limits().activationInterval())) {
            return;
        }
        mState.tally().woke();
        turn.add(request(target, first.request().deadline()));
    }

    private static RoutingDecision request(TargetState target, Instant earliestDeadline) {
        int waiting = target.queue().size();
        if (target.target() instanceof Target.ServiceModelTarget served) {
            return new RoutingDecision.RequestLoad(served, earliestDeadline, waiting);
        }
        Target.ModelTarget model = (Target.ModelTarget) target.target();
        return new RoutingDecision.RequestActivation(model.model(), earliestDeadline, waiting);
    }

    private void refuseWaiting(TargetState target, RoutingTurn turn) {
        @Nullable CallState call = target.queue().first();
        while (call != null) {
            mCloser.refuse(call, RefusalReason.UNKNOWN_TARGET, turn);
            call = target.queue().first();
        }
    }
}
