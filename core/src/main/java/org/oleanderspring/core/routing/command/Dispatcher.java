package org.oleanderspring.core.routing.command;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.Target;

/** Starts waiting calls on free replicas, and wakes models that have no replica. */
final class Dispatcher {
    private final RoutingState mState;
    private final EndpointSelector mSelector;
    private final AttemptControl mAttempts;
    private final CallCloser mCloser;

    Dispatcher(
            RoutingState state,
            EndpointSelector selector,
            AttemptControl attempts,
            CallCloser closer) {
        mState = state;
        mSelector = selector;
        mAttempts = attempts;
        mCloser = closer;
    }

    void dispatchTouched(Turn turn) {
        for (TargetState target : mState.takeTouched()) {
            if (mState.fleet().isKnown(target.target())) {
                startWaiting(target, turn);
                wake(target, turn);
            } else {
                refuseWaiting(target, turn);
            }
        }
    }

    private void startWaiting(TargetState target, Turn turn) {
        CallState call = target.queue().first();
        while (call != null && startOne(call, target, turn)) {
            call = target.queue().first();
        }
    }

    private boolean startOne(CallState call, TargetState target, Turn turn) {
        if (target.isFull()) {
            return false;
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

    private void wake(TargetState target, Turn turn) {
        CallState first = target.queue().first();
        if (first == null || target.capacity() > 0) {
            return;
        }
        if (!(target.target() instanceof Target.ModelTarget model)) {
            return;
        }
        if (target.takeWake(turn.now(), mState.limits().wakeRepeat())) {
            mState.tally().woke();
            turn.add(
                    new RoutingDecision.RequestWake(
                            model.model(), first.request().deadline(), target.queue().size()));
        }
    }

    private void refuseWaiting(TargetState target, Turn turn) {
        @Nullable CallState call = target.queue().first();
        while (call != null) {
            mCloser.refuse(call, RefusalReason.UNKNOWN_TARGET, turn);
            call = target.queue().first();
        }
    }
}
