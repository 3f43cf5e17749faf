package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.query.RoutingQueries;
import org.oleanderspring.core.routing.query.RoutingSnapshot;

/**
 * Serves calls through ready replicas, lets them wait for one, and ends every call exactly once.
 *
 * <p>Why every call ends exactly once: an admitted call is in the call table until {@link
 * CallCloser} removes it, and every end goes through the closer. A call in the table either has
 * passed on the beginning of an answer, and then its attempt's end ends it, or is in the deadline
 * index, whose overdue calls are ended with each event. Events name a call or an attempt; those
 * that name one that is not in the table, or an attempt that is not the running one, change
 * nothing.
 *
 * <p>Why a refusal with {@code NOT_RUN} is true: a call may have run if one of its attempts ended
 * without proof that the work did not run. Both ways out of a running attempt set that mark: an end
 * without proof here, a cancellation in {@link AttemptControl}. The mark is never taken back.
 *
 * <p>The order of steps within an event: the event itself first, so that an answer that is here
 * counts; then overdue calls are ended, so that none of them is started; then waiting calls are
 * started.
 */
public final class DefaultRoutingDecider implements RoutingDecider, RoutingQueries {
    /**
     * So many attempts of one call may fail to reach their endpoint. They are not counted as
     * attempts of the call, because the endpoint saw nothing of them.
     */
    private static final int UNREACHED_LIMIT = 4;

    private final RoutingState mState;
    private final CallCloser mCloser;
    private final AttemptControl mAttempts;
    private final RetryPolicy mRetryPolicy;
    private final Admission mAdmission;
    private final Dispatcher mDispatcher;

    /**
     * Creates a decider that refuses all calls until {@link RoutingEvent.AuthorityChanged} allows
     * them.
     *
     * @param selector chooses the replica of a call
     * @param overloadPolicy decides on calls that no replica can take now
     * @param retryPolicy decides which calls may have another attempt
     */
    public DefaultRoutingDecider(
            EndpointSelector selector, OverloadPolicy overloadPolicy, RetryPolicy retryPolicy) {
        this(selector, overloadPolicy, retryPolicy, new TokenBucketRetryBudget());
    }

    /**
     * Creates a decider that refuses all calls until {@link RoutingEvent.AuthorityChanged} allows
     * them.
     *
     * @param selector chooses the replica of a call
     * @param overloadPolicy decides on calls that no replica can take now
     * @param retryPolicy decides which calls may have another attempt
     * @param retries limits the retries of all calls together
     */
    public DefaultRoutingDecider(
            EndpointSelector selector,
            OverloadPolicy overloadPolicy,
            RetryPolicy retryPolicy,
            RetryBudget retries) {
        mState = new RoutingState(retries);
        mCloser = new CallCloser(mState);
        mAttempts = new AttemptControl(mState);
        mRetryPolicy = retryPolicy;
        mAdmission = new Admission(mState, overloadPolicy);
        mDispatcher = new Dispatcher(mState, selector, overloadPolicy, mAttempts, mCloser);
    }

    @Override
    public List<RoutingDecision> decide(RoutingEvent event, Instant now) {
        RoutingTurn turn = new RoutingTurn(now, new ArrayList<>(2));
        if (!handleCallEvent(event, turn)) {
            handleFleetEvent(event, turn);
        }
        expireOverdue(turn);
        if (mState.isDrainEnding()) {
            refuseWaiting(turn);
        }
        mDispatcher.dispatchTouched(turn);
        return turn.decisions();
    }

    @Override
    public RoutingSnapshot snapshot(Instant now) {
        return new SnapshotWriter(mState).write(now);
    }

    /** Handles an event of one call; returns whether it was one. */
    private boolean handleCallEvent(RoutingEvent event, RoutingTurn turn) {
        if (event instanceof RoutingEvent.CallArrived arrived) {
            mAdmission.arrive(arrived.request(), turn);
        } else if (event instanceof RoutingEvent.DispatchRecorded recorded) {
            claimSettled(recorded.call(), recorded.result(), turn);
        } else if (event instanceof RoutingEvent.ResponseBegan began) {
            responseBegan(began.attempt(), turn);
        } else if (event instanceof RoutingEvent.AttemptFinished finished) {
            attemptFinished(finished.attempt(), finished.outcome(), turn);
        } else if (event instanceof RoutingEvent.CallerLeft left) {
            callerLeft(left.call(), turn);
        } else {
            return false;
        }
        return true;
    }

    private void handleFleetEvent(RoutingEvent event, RoutingTurn turn) {
        RoutingFleetState fleet = mState.fleet();
        if (event instanceof RoutingEvent.TimerFired) {
            fleet.forgetDrained(turn.now());
            mState.touchWaiting();
        } else if (event instanceof RoutingEvent.TableChanged changed) {
            fleet.apply(changed.table(), turn.now());
            mState.touchWaiting();
        } else if (event instanceof RoutingEvent.EndpointDraining draining) {
            fleet.drain(draining.endpoint(), turn.now());
            mState.touchWaiting();
        } else if (event instanceof RoutingEvent.EndpointLoadSeen seen) {
            fleet.loadSeen(seen.endpoint(), seen.callsOfOthers(), seen.seenAt());
        } else if (event instanceof RoutingEvent.ReadinessEstimated estimated) {
            fleet.estimated(estimated.target(), estimated.readyAt(), turn.now());
            mAdmission.reconsider(estimated.target(), mCloser, turn);
        } else if (event instanceof RoutingEvent.LimitsChanged changed) {
            limitsChanged(changed.limits(), turn);
        } else if (event instanceof RoutingEvent.AuthorityChanged changed) {
            authorityChanged(changed.mayDecide(), turn);
        } else if (event instanceof RoutingEvent.DrainStarted) {
            mState.drainStarted();
        } else if (event instanceof RoutingEvent.DrainEnding) {
            mState.drainStarted();
            mState.drainEnding();
        }
    }

    private void claimSettled(CallId id, ClaimResult result, RoutingTurn turn) {
        CallState call = mState.calls().get(id);
        if (call == null || call.phase() != CallPhase.CLAIMING) {
            mState.tally().lateEvent();
        } else if (result instanceof ClaimResult.AlreadyClaimed earlier) {
            mCloser.refuseDuplicate(call, earlier.state(), turn);
        } else if (result instanceof ClaimResult.Unavailable) {
            mCloser.refuse(call, RefusalReason.RECORD_UNAVAILABLE, turn);
        } else {
            call.target().changeClaiming(-1);
            call.claimed();
            mState.enqueue(call);
        }
    }

    private void responseBegan(AttemptId id, RoutingTurn turn) {
        CallState call = mState.calls().current(id);
        RunningAttemptState attempt = call == null ? null : call.running();
        if (call == null || attempt == null) {
            mState.tally().lateEvent();
            return;
        }
        mAttempts.answerBegan(call, attempt, turn.now());
    }

    private void attemptFinished(AttemptId id, AttemptOutcome outcome, RoutingTurn turn) {
        CallState call = mState.calls().current(id);
        RunningAttemptState attempt = call == null ? null : call.running();
        if (call == null || attempt == null) {
            mState.tally().lateEvent();
            return;
        }
        mAttempts.ended(call, attempt, outcome, turn.now());
        if (outcome instanceof AttemptOutcome.Completed) {
            mCloser.finish(call, turn);
        } else {
            retryOrRefuse(call, outcome, turn);
        }
    }

    private void retryOrRefuse(CallState call, AttemptOutcome outcome, RoutingTurn turn) {
        boolean began =
                call.hasAnswerBegun()
                        || outcome instanceof AttemptOutcome.Failed failed && failed.answerBegan();
        if (began || outcome instanceof AttemptOutcome.Failed) {
            call.mayHaveRun();
        }
        if (!mState.mayDecide()) {
            mCloser.refuse(call, RefusalReason.NO_AUTHORITY, turn);
        } else if (mayRetry(call, outcome, began, turn)) {
            mState.enqueue(call);
        } else {
            mCloser.refuse(call, RefusalReason.ATTEMPTS_EXHAUSTED, turn);
        }
    }

    private boolean mayRetry(
            CallState call, AttemptOutcome outcome, boolean began, RoutingTurn turn) {
        if (!mRetryPolicy.mayRetry(call.request(), outcome, began)) {
            return false;
        }
        if (outcome instanceof AttemptOutcome.NotSent) {
            call.endpointNotReached();
            return call.unreached() < UNREACHED_LIMIT;
        }
        return call.attempts() - call.unreached() < attemptLimit(call)
                && mState.retries().takeRetry(call.request().target(), mState.limits(), turn.now());
    }

    private int attemptLimit(CallState call) {
        return Math.min(call.request().attemptLimit(), mState.limits().attemptLimit());
    }

    private void callerLeft(CallId id, RoutingTurn turn) {
        CallState call = mState.calls().get(id);
        if (call == null) {
            mState.tally().lateEvent();
            return;
        }
        mAttempts.cancel(call, "caller left", turn);
        mCloser.abandon(call, turn);
    }

    private void authorityChanged(boolean mayDecide, RoutingTurn turn) {
        mState.mayDecide(mayDecide);
        if (mayDecide) {
            return;
        }
        for (CallState call : mState.calls().withoutAttempt()) {
            mCloser.refuse(call, RefusalReason.NO_AUTHORITY, turn);
        }
    }

    /** Applies new limits also to calls that wait for an attempt which the old ones allowed. */
    private void limitsChanged(RoutingLimits limits, RoutingTurn turn) {
        mState.limits(limits);
        for (CallState call : mState.calls().withoutAttempt()) {
            if (call.attempts() - call.unreached() >= limits.attemptLimit()) {
                mCloser.refuse(call, RefusalReason.ATTEMPTS_EXHAUSTED, turn);
            }
        }
    }

    private void refuseWaiting(RoutingTurn turn) {
        for (CallState call : mState.calls().withoutAttempt()) {
            mCloser.refuse(call, RefusalReason.DRAINING, turn);
        }
    }

    private void expireOverdue(RoutingTurn turn) {
        CallState call = mState.calls().firstOverdue(turn.now());
        while (call != null) {
            mAttempts.cancelOverdue(call, turn);
            mCloser.refuse(call, RefusalReason.DEADLINE_PASSED, turn);
            call = mState.calls().firstOverdue(turn.now());
        }
    }
}
