package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.WorkState;

/** Admits or refuses calls on arrival. */
final class AdmissionControl {
    private final RoutingState mState;
    private final OverloadPolicy mPolicy;

    AdmissionControl(RoutingState state, OverloadPolicy policy) {
        mState = state;
        mPolicy = policy;
    }

    void handleArrival(CallRequest request, RoutingContext context) {
        if (mState.calls().get(request.id()) != null) {
            mState.statistics().lateEvent();
            return;
        }
        mState.statistics().arrived();
        RefusalReason refusal = refusalByState(request, context.now());
        if (refusal != null) {
            refuse(request, refusal, context);
            return;
        }
        CallState call =
                new CallState(request, mState.fleet().target(request.target()), context.now());
        call.trial(mState.quarantine().dueTrial(request.prompt()));
        call.target().callArrived(request);
        refusal =
                mState.mayOutliveDaemon(call, context.now())
                        ? RefusalReason.DRAINING
                        : refusalByLoad(call, context.now());
        if (refusal != null) {
            refuse(call, refusal, context);
            return;
        }
        admit(call, context);
    }

    /**
     * Refuses the waiting calls that no replica has taken, if the policy lets them wait no longer.
     * Calls that wait for something whose time is known are left to the estimate.
     */
    void refuseUntaken(CallCloser closer, RoutingContext context) {
        for (TargetState target : mState.waitingTargets()) {
            if (!target.hasTimetable(context.now())) {
                refuseUntaken(target, closer, context);
            }
        }
    }

    private void refuseUntaken(TargetState target, CallCloser closer, RoutingContext context) {
        for (CallState call : target.queue().calls()) {
            Duration waited = Duration.between(call.arrivedAt(), context.now());
            Duration remaining = Duration.between(context.now(), call.request().beginBy());
            if (!call.hasPossiblyRun()
                    && !mPolicy.shouldWaitOn(call.request(), waited, remaining)) {
                closer.refuse(call, RefusalReason.NOT_TAKEN, context);
            }
        }
    }

    /**
     * Refuses the waiting calls of a target that new information shows to be impossible to serve in
     * time: an estimate of when a replica is ready, the times of permits, or the ends of pauses.
     * Does nothing if the target has a ready replica that takes calls.
     */
    void recheckWaiting(TargetState target, CallCloser closer, RoutingContext context) {
        if (target.capacity() > 0 && !target.hasTimetable(context.now())) {
            return;
        }
        for (CallState call : target.queue().calls()) {
            RefusalReason refusal = refusalByEstimate(call, Duration.ZERO, context.now());
            if (refusal != null) {
                closer.refuse(call, refusal, context);
            }
        }
    }

    /** Refuses a call because of the load of its target. */
    private void refuse(CallState call, RefusalReason reason, RoutingContext context) {
        CallRequest request = call.request();
        TargetState target = call.target();
        mState.statistics().refused(reason);
        if (reason == RefusalReason.DEADLINE_TOO_SHORT || reason == RefusalReason.RATE_LIMITED) {
            target.refusals().refused(call);
        }
        context.add(
                new RoutingDecision.Refuse(
                        request.id(), reason, WorkState.NOT_RUN, target.readyIn(context.now())));
    }

    private void refuse(CallRequest request, RefusalReason reason, RoutingContext context) {
        mState.statistics().refused(reason);
        Duration readyIn = reason == RefusalReason.SUSPECTED ? QuarantineGate.TRIAL_TIME : null;
        context.add(new RoutingDecision.Refuse(request.id(), reason, WorkState.NOT_RUN, readyIn));
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
        if (!request.deadline().isAfter(now)) {
            return RefusalReason.DEADLINE_PASSED;
        }
        return mState.quarantine().dueTrial(request.prompt()) == 0
                ? mState.quarantine().refusal(request.prompt())
                : null;
    }

    /**
     * Returns why the load of the target forbids the call, or null if the call is admitted. A call
     * for which a replica has free capacity is never refused by an estimate: only its measured
     * service time can correct an estimate that is too high.
     */
    private @Nullable RefusalReason refusalByLoad(CallState call, Instant now) {
        TargetState target = call.target();
        int limit = mState.limits().queueLimit();
        if (target.hasFreeCapacity(now, target.needOf(call.request()))) {
            // Calls that wait for their claim occupy no replica yet. When their claims succeed, as
            // many as the capacity can run and as many as the queue limit can wait.
            boolean full = target.claimingCalls() >= limit + target.capacity();
            return full && call.request().needsRecord() ? RefusalReason.QUEUE_FULL : null;
        }
        if (target.isTooLarge(call.request())) {
            return RefusalReason.TOO_MANY_TOKENS;
        }
        if (target.pendingCalls() >= limit) {
            return RefusalReason.QUEUE_FULL;
        }
        return refusalByEstimate(call, target.waitOfOldest(now), now);
    }

    private @Nullable RefusalReason refusalByEstimate(
            CallState call, Duration leastWait, Instant now) {
        TargetState target = call.target();
        int callsBefore = target.queue().countBefore(call) + target.claimingCalls();
        TargetLoad load =
                new TargetLoad(
                        now,
                        target.pendingCalls(),
                        mState.limits().queueLimit(),
                        target.capacity() > 0,
                        longer(target.estimatedWait(callsBefore, now), leastWait));
        OverloadAction action = mPolicy.decide(call.request(), load);
        if (!(action instanceof OverloadAction.RefuseNow refuse)) {
            return null;
        }
        boolean isTooLate = refuse.reason() == RefusalReason.DEADLINE_TOO_SHORT;
        return isTooLate && target.isRateLimited() ? RefusalReason.RATE_LIMITED : refuse.reason();
    }

    private static Duration longer(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    private void admit(CallState call, RoutingContext context) {
        mState.calls().add(call);
        if (call.isTrial()) {
            mState.quarantine().trialMade(call.trial());
        }
        IdempotencyKey key = call.request().idempotencyKey();
        if (key == null) {
            mState.enqueue(call);
            return;
        }
        call.target().changeClaimingCalls(1);
        context.add(new RoutingDecision.RecordDispatch(call.request().id(), key));
    }
}
