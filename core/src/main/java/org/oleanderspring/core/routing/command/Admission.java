package org.oleanderspring.core.routing.command;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.WorkState;

/** Admits or refuses calls as they arrive. */
final class Admission {
    private final RoutingState mState;
    private final OverloadPolicy mPolicy;

    Admission(RoutingState state, OverloadPolicy policy) {
        mState = state;
        mPolicy = policy;
    }

    void arrive(CallRequest request, RoutingTurn turn) {
        if (mState.calls().get(request.id()) != null) {
            mState.tally().lateEvent();
            return;
        }
        mState.tally().arrived();
        RefusalReason refusal = refusalByState(request, turn.now());
        if (refusal != null) {
            refuse(request, refusal, turn);
            return;
        }
        CallState call = new CallState(request, mState.fleet().target(request.target()));
        refusal = refusalByLoad(call, turn.now());
        if (refusal != null) {
            refuse(call, refusal, turn);
            return;
        }
        admit(call, turn);
    }

    /** Refuses waiting calls that a new estimate leaves no hope. */
    void reconsider(Target target, CallCloser closer, RoutingTurn turn) {
        TargetState state = mState.fleet().target(target);
        if (state.capacity() > 0) {
            return;
        }
        for (CallState call : state.queue().calls()) {
            RefusalReason refusal = refusalByEstimate(call, turn.now());
            if (refusal != null) {
                closer.refuse(call, refusal, turn);
            }
        }
    }

    /** Refuses a call by the load of its target. */
    private void refuse(CallState call, RefusalReason reason, RoutingTurn turn) {
        CallRequest request = call.request();
        TargetState target = call.target();
        mState.tally().refused(reason);
        turn.add(
                new RoutingDecision.Refuse(
                        request.id(), reason, WorkState.NOT_RUN, target.readyIn(turn.now())));
    }

    private void refuse(CallRequest request, RefusalReason reason, RoutingTurn turn) {
        mState.tally().refused(reason);
        turn.add(new RoutingDecision.Refuse(request.id(), reason, WorkState.NOT_RUN));
    }

    private @Nullable RefusalReason refusalByState(CallRequest request, Instant now) {
        if (!mState.mayDecide()) {
            return RefusalReason.NO_AUTHORITY;
        }
        if (mState.isDrainStarted()) {
            return RefusalReason.DRAINING;
        }
        if (!mState.fleet().isKnown(request.target())) {
            return RefusalReason.UNKNOWN_TARGET;
        }
        return request.deadline().isAfter(now) ? null : RefusalReason.DEADLINE_PASSED;
    }

    /**
     * Refuses by the load of the target. A call that finds a free place is never refused by an
     * estimate: its service time is what corrects an estimate that is too high.
     */
    private @Nullable RefusalReason refusalByLoad(CallState call, Instant now) {
        TargetState target = call.target();
        int limit = mState.limits().queueLimit();
        if (target.hasFreePlace(now)) {
            boolean full = target.claiming() >= limit + target.capacity();
            return full && call.request().needsRecord() ? RefusalReason.QUEUE_FULL : null;
        }
        if (target.admitted() >= limit) {
            return RefusalReason.QUEUE_FULL;
        }
        return refusalByEstimate(call, now);
    }

    private @Nullable RefusalReason refusalByEstimate(CallState call, Instant now) {
        TargetState target = call.target();
        int before = target.queue().countBefore(call) + target.claiming();
        OverloadSituation situation =
                new OverloadSituation(
                        now,
                        target.admitted(),
                        mState.limits().queueLimit(),
                        target.capacity() > 0,
                        target.estimatedWait(before, now));
        OverloadAction action = mPolicy.decide(call.request(), situation);
        return action instanceof OverloadAction.RefuseNow refuse ? refuse.reason() : null;
    }

    private void admit(CallState call, RoutingTurn turn) {
        mState.calls().add(call);
        IdempotencyKey key = call.request().idempotencyKey();
        if (key == null) {
            mState.enqueue(call);
            return;
        }
        call.target().changeClaiming(1);
        turn.add(new RoutingDecision.RecordDispatch(call.request().id(), key));
    }
}
