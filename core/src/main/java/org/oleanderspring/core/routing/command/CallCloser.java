package org.oleanderspring.core.routing.command;

import java.time.Duration;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.WorkState;

/**
 * Ends calls and releases their state immediately.
 *
 * <p>Dispatch records of non-idempotent calls: the record is claimed once per call, before the
 * first attempt, and stays {@code DISPATCHED} during all attempts of the call. Meanwhile every
 * other call with the same key is refused, so only this call can start the work. A retry after an
 * attempt that provably did not run needs no second claim, because the call has no other attempt at
 * that moment and still holds its claim.
 *
 * <p>{@code NOT_RUN} is recorded only here, together with the removal of the call, if no attempt
 * was started or all attempts provably did not run. After the removal no attempt can be started for
 * the call, so the record stays correct, and no retry can run under a record that says {@code
 * NOT_RUN}. {@code RAN} is recorded when the complete response was passed on. In all other cases
 * the record stays {@code DISPATCHED}, which is reported to callers as {@code unknown}.
 *
 * <p>An outcome is recorded only for a call whose claim is known to have succeeded. A call that
 * ends while its claim is pending records nothing, because the key may belong to an earlier call
 * that ran. If that claim succeeds later, the record says {@code DISPATCHED} for work that never
 * ran, and a call with the same key is refused with {@code unknown}. That is safe: the work cannot
 * run twice.
 */
final class CallCloser {
    private final RoutingState mState;

    CallCloser(RoutingState state) {
        mState = state;
    }

    /**
     * Refuses a call without a running attempt. The refusal states whether the work may have run.
     */
    void refuse(CallState call, RefusalReason reason, RoutingContext context) {
        refuse(
                call,
                reason,
                call.hasPossiblyRun() ? WorkState.UNKNOWN : WorkState.NOT_RUN,
                context);
    }

    /** Refuses a call whose idempotency key was claimed by an earlier call. */
    void refuseDuplicate(CallState call, RecordState earlier, RoutingContext context) {
        refuse(call, RefusalReason.DUPLICATE_KEY, workStateOf(earlier), context);
    }

    private void refuse(
            CallState call, RefusalReason reason, WorkState work, RoutingContext context) {
        release(call);
        recordNotRun(call, context);
        mState.statistics().refused(reason);
        Duration readyIn =
                reason == RefusalReason.SUSPECTED
                        ? QuarantineGate.TRIAL_TIME
                        : call.target().readyIn(context.now());
        context.add(new RoutingDecision.Refuse(call.request().id(), reason, work, readyIn));
    }

    /** Ends a call whose complete response was passed on. */
    void finish(CallState call, RoutingContext context) {
        release(call);
        recordOutcome(call, RecordState.RAN, context);
        mState.statistics().finished();
        context.add(new RoutingDecision.FinishCall(call.request().id()));
    }

    /** Ends a call whose caller disconnected. The call must not have a running attempt. */
    void abandon(CallState call, RoutingContext context) {
        release(call);
        recordNotRun(call, context);
        mState.statistics().callerDisconnected();
    }

    private void release(CallState call) {
        mState.calls().remove(call);
        if (call.isTrial() && !call.hasReachedRunner()) {
            mState.quarantine().trialNotMade(call.trial());
        }
        if (call.phase() == CallPhase.CLAIMING) {
            call.target().changeClaimingCalls(-1);
        } else {
            mState.dequeue(call);
            if (call.attempts() == 0) {
                mState.shares().withdrawn(call.request(), call.rank());
            }
        }
    }

    private void recordNotRun(CallState call, RoutingContext context) {
        if (!call.hasPossiblyRun()) {
            recordOutcome(call, RecordState.NOT_RUN, context);
        }
    }

    private static void recordOutcome(CallState call, RecordState state, RoutingContext context) {
        IdempotencyKey key = call.request().idempotencyKey();
        if (key != null && call.isClaimed()) {
            context.add(new RoutingDecision.RecordOutcome(key, state));
        }
    }

    private static WorkState workStateOf(RecordState state) {
        return switch (state) {
            case DISPATCHED -> WorkState.UNKNOWN;
            case RAN -> WorkState.RAN;
            case NOT_RUN -> WorkState.NOT_RUN;
        };
    }
}
