package org.oleanderspring.core.routing.command;

import java.time.Duration;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.WorkState;

/**
 * Ends calls and releases their memory at once.
 *
 * <p>Dispatch records of non-idempotent calls. The record is claimed once per call, before the
 * first attempt, and stays in the state {@code DISPATCHED} over all attempts of the call. While it
 * does, every other arrival of the key is refused, so only this call can start the work. A retry
 * after an attempt that provably did not run needs no second claim: the call has no other attempt
 * at that moment, and the claim still is its own.
 *
 * <p>{@code NOT_RUN} is recorded only here, together with the removal of the call, when no attempt
 * was started or all of them provably did not run. From then on the call has no identity under
 * which an attempt could be started, so the record stays true; a retry under a record that says
 * {@code NOT_RUN} cannot happen. {@code RAN} is recorded when the whole answer was passed on. In
 * all other cases the record stays {@code DISPATCHED}, which is answered with {@code unknown}.
 *
 * <p>An outcome is recorded only for a call whose claim is known to have succeeded. A call that
 * ends while its claim is on the way records nothing, because the key may belong to an earlier call
 * that ran; if the claim succeeds after all, the record says {@code DISPATCHED} for work that never
 * ran, and a repeated key is refused with {@code unknown}, which is the safe side.
 */
final class CallCloser {
    private final RoutingState mState;

    CallCloser(RoutingState state) {
        mState = state;
    }

    /** Refuses a call without a running attempt; says whether its work may have run. */
    void refuse(CallState call, RefusalReason reason, RoutingTurn turn) {
        refuse(call, reason, call.hasPossiblyRun() ? WorkState.UNKNOWN : WorkState.NOT_RUN, turn);
    }

    /** Refuses a call whose key was claimed by an earlier call. */
    void refuseDuplicate(CallState call, RecordState earlier, RoutingTurn turn) {
        refuse(call, RefusalReason.DUPLICATE_KEY, workStateOf(earlier), turn);
    }

    private void refuse(CallState call, RefusalReason reason, WorkState work, RoutingTurn turn) {
        release(call);
        recordNotRun(call, turn);
        mState.tally().refused(reason);
        Duration readyIn = call.target().readyIn(turn.now());
        turn.add(new RoutingDecision.Refuse(call.request().id(), reason, work, readyIn));
    }

    /** Ends a call that has its whole answer. */
    void finish(CallState call, RoutingTurn turn) {
        release(call);
        recordOutcome(call, RecordState.RAN, turn);
        mState.tally().finished();
        turn.add(new RoutingDecision.FinishCall(call.request().id()));
    }

    /** Ends a call that nobody waits for; it has no running attempt. */
    void abandon(CallState call, RoutingTurn turn) {
        release(call);
        recordNotRun(call, turn);
        mState.tally().callerLeft();
    }

    private void release(CallState call) {
        mState.calls().remove(call);
        if (call.phase() == CallPhase.CLAIMING) {
            call.target().changeClaiming(-1);
        } else {
            mState.dequeue(call);
        }
    }

    private void recordNotRun(CallState call, RoutingTurn turn) {
        if (!call.hasPossiblyRun()) {
            recordOutcome(call, RecordState.NOT_RUN, turn);
        }
    }

    private static void recordOutcome(CallState call, RecordState state, RoutingTurn turn) {
        IdempotencyKey key = call.request().idempotencyKey();
        if (key != null && call.isClaimed()) {
            turn.add(new RoutingDecision.RecordOutcome(key, state));
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
