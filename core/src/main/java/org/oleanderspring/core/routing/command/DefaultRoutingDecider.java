package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.quarantine.query.Quarantine;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.query.RoutingCounters;
import org.oleanderspring.core.routing.query.RoutingQueries;
import org.oleanderspring.core.routing.query.RoutingSnapshot;

/**
 * Assigns calls to ready replicas, queues calls while none is available, and ends every call
 * exactly once. Not thread-safe; used by the thread that owns the routing state.
 *
 * <p>Every call ends exactly once: an admitted call stays in the call table until {@link
 * CallCloser} removes it, and every path that ends a call goes through {@link CallCloser}. At least
 * one of two conditions holds for a call in the table: the first byte of a response was passed on,
 * and the call ends when its attempt ends; or the call is in the deadline index, and the handling
 * of every event ends the calls in it whose deadline has passed. An event names a call or an
 * attempt. An event for a call that is not in the table, or for an attempt that is not the call's
 * running one, changes nothing.
 *
 * <p>A refusal with {@code NOT_RUN} is correct: a call is flagged as possibly run when one of its
 * attempts ends without proof that the work did not run. An attempt can end so in only two ways,
 * and both set the flag: a reported end without proof, handled here, and a cancellation, handled by
 * {@link AttemptControl}. The flag is never cleared.
 *
 * <p>Steps within one event: first the event itself is applied, so that a response that has arrived
 * counts; then overdue calls are ended, so that none of them is started; then waiting calls are
 * refused if the shutdown of the daemon is ending; then waiting calls are started.
 */
public final class DefaultRoutingDecider implements RoutingDecider, RoutingQueries {
    /**
     * Number of attempts of one call that may fail before anything was sent; the last of them ends
     * the call. They count neither towards the attempt limit of the call nor towards the retry
     * budget, because the endpoint received nothing.
     */
    private static final int NOT_SENT_LIMIT = 4;

    private final RoutingState mState;
    private final CallCloser mCloser;
    private final AttemptControl mAttempts;
    private final RetryPolicy mRetryPolicy;
    private final AdmissionControl mAdmission;
    private final Dispatcher mDispatcher;

    /**
     * Creates a decider that refuses all calls until {@link RoutingEvent.AuthorityChanged} permits
     * them.
     *
     * @param selector chooses the replica for a call
     * @param overloadPolicy decides about calls that no replica can take now
     * @param retryPolicy decides which calls may have another attempt
     */
    public DefaultRoutingDecider(
            EndpointSelector selector, OverloadPolicy overloadPolicy, RetryPolicy retryPolicy) {
        this(selector, overloadPolicy, retryPolicy, new TokenBucketRetryBudget());
    }

    /**
     * Creates a decider that refuses all calls until {@link RoutingEvent.AuthorityChanged} permits
     * them.
     *
     * @param selector chooses the replica for a call
     * @param overloadPolicy decides about calls that no replica can take now
     * @param retryPolicy decides which calls may have another attempt
     * @param retryBudget limits the retries of all calls together
     */
    public DefaultRoutingDecider(
            EndpointSelector selector,
            OverloadPolicy overloadPolicy,
            RetryPolicy retryPolicy,
            RetryBudget retryBudget) {
        mState = new RoutingState(retryBudget);
        mCloser = new CallCloser(mState);
        mAttempts = new AttemptControl(mState);
        mRetryPolicy = retryPolicy;
        mAdmission = new AdmissionControl(mState, overloadPolicy);
        mDispatcher = new Dispatcher(mState, selector, overloadPolicy, mAttempts, mCloser);
    }

    @Override
    public List<RoutingDecision> decide(RoutingEvent event, Instant now) {
        RoutingContext context = new RoutingContext(now, new ArrayList<>(2));
        if (!handleCallEvent(event, context)) {
            handleFleetEvent(event, context);
        }
        expireOverdue(context);
        if (mState.isDrainEnding()) {
            refuseWaiting(context);
        }
        mDispatcher.dispatchMarked(context);
        return context.decisions();
    }

    @Override
    public RoutingSnapshot snapshot(Instant now) {
        return new SnapshotBuilder(mState).build(now);
    }

    @Override
    public RoutingCounters counters() {
        return mState.statistics().toCounters();
    }

    /** Handles an event of a single call. Returns false if the event is of another kind. */
    private boolean handleCallEvent(RoutingEvent event, RoutingContext context) {
        if (event instanceof RoutingEvent.CallArrived arrived) {
            mAdmission.handleArrival(arrived.request(), context);
        } else if (event instanceof RoutingEvent.DispatchRecorded recorded) {
            dispatchRecorded(recorded.call(), recorded.result(), context);
        } else if (event instanceof RoutingEvent.ResponseBegan began) {
            responseBegan(began, context);
        } else if (event instanceof RoutingEvent.AttemptFinished finished) {
            attemptFinished(finished.attempt(), finished.outcome(), context);
        } else if (event instanceof RoutingEvent.CallerDisconnected disconnected) {
            callerDisconnected(disconnected.call(), context);
        } else if (event instanceof RoutingEvent.CallerWithdrawn withdrawn) {
            callerWithdrawn(withdrawn.call(), withdrawn.reason(), context);
        } else {
            return false;
        }
        return true;
    }

    private void handleFleetEvent(RoutingEvent event, RoutingContext context) {
        RoutingFleetState fleet = mState.fleet();
        if (event instanceof RoutingEvent.TimerFired) {
            fleet.removeExpiredDraining(context.now());
            mAdmission.refuseUntaken(mCloser, context);
            mState.markWaitingForDispatch();
        } else if (event instanceof RoutingEvent.TableChanged changed) {
            fleet.apply(changed.table(), context.now());
            mState.markWaitingForDispatch();
        } else if (event instanceof RoutingEvent.ReplicasChanged changed) {
            fleet.apply(changed.replicas(), context.now()).forEach(mState::markForDispatch);
        } else if (event instanceof RoutingEvent.EndpointDraining draining) {
            fleet.drain(draining.endpoint(), context.now());
            mState.markWaitingForDispatch();
        } else if (event instanceof RoutingEvent.EndpointStated stated) {
            for (TargetState target :
                    fleet.stated(stated.endpoint(), stated.statement(), context.now())) {
                mAdmission.recheckWaiting(target, mCloser, context);
            }
            mState.markWaitingForDispatch();
        } else if (event instanceof RoutingEvent.PermitsGranted granted) {
            permitsGranted(granted.grant(), context);
        } else if (event instanceof RoutingEvent.EndpointLoadObserved load) {
            fleet.updateLoad(load.endpoint(), load.callsOfOtherDaemons(), load.observedAt());
        } else if (event instanceof RoutingEvent.EndpointLoadsReported reported) {
            fleet.loadsReported(reported.loads(), context.now());
            mState.markWaitingForDispatch();
        } else if (event instanceof RoutingEvent.EndpointUseReportDue) {
            context.add(new RoutingDecision.ReportEndpointUse(fleet.takeUses(context.now())));
        } else if (event instanceof RoutingEvent.ReadinessEstimated estimated) {
            fleet.readinessEstimated(estimated.target(), estimated.readyAt(), context.now());
            mAdmission.recheckWaiting(fleet.target(estimated.target()), mCloser, context);
        } else if (event instanceof RoutingEvent.LimitsChanged changed) {
            limitsChanged(changed.limits(), context);
        } else if (event instanceof RoutingEvent.QuarantineChanged changed) {
            quarantineChanged(changed.quarantine(), context);
        } else if (event instanceof RoutingEvent.AuthorityChanged changed) {
            authorityChanged(changed.mayDecide(), context);
        } else if (event instanceof RoutingEvent.ShutdownAnnounced announced) {
            mState.endsAt(announced.endsAt());
            mState.markWaitingForDispatch();
        } else if (event instanceof RoutingEvent.DrainStarted) {
            mState.startDrain();
        } else if (event instanceof RoutingEvent.ShutdownEnding) {
            mState.startDrain();
            mState.endDrain();
        }
    }

    /**
     * Applies permits. A reply that gives fewer or later ones than expected shows that some of the
     * waiting calls cannot be served in time.
     */
    private void permitsGranted(PermitGrant grant, RoutingContext context) {
        for (TargetState target : mState.fleet().permitsGranted(grant, context.now())) {
            mAdmission.recheckWaiting(target, mCloser, context);
            mState.markForDispatch(target);
        }
    }

    private void dispatchRecorded(CallId id, ClaimResult result, RoutingContext context) {
        CallState call = mState.calls().get(id);
        if (call == null || call.phase() != CallPhase.CLAIMING) {
            mState.statistics().lateEvent();
        } else if (result instanceof ClaimResult.AlreadyClaimed earlier) {
            mCloser.refuseDuplicate(call, earlier.state(), context);
        } else if (result instanceof ClaimResult.Unavailable) {
            mCloser.refuse(call, RefusalReason.RECORD_UNAVAILABLE, context);
        } else {
            call.target().changeClaimingCalls(-1);
            call.claimed();
            mState.enqueue(call);
        }
    }

    private void responseBegan(RoutingEvent.ResponseBegan began, RoutingContext context) {
        CallState call = mState.calls().findByRunningAttempt(began.attempt());
        RunningAttemptState attempt = call == null ? null : call.running();
        if (call == null || attempt == null) {
            mState.statistics().lateEvent();
            return;
        }
        mAttempts.responseBegan(call, attempt, began.isError(), context.now());
    }

    private void attemptFinished(AttemptId id, AttemptOutcome outcome, RoutingContext context) {
        CallState call = mState.calls().findByRunningAttempt(id);
        RunningAttemptState attempt = call == null ? null : call.running();
        if (call == null || attempt == null) {
            mState.statistics().lateEvent();
            return;
        }
        mAttempts.attemptEnded(call, attempt, outcome, context.now());
        if (outcome instanceof AttemptOutcome.Completed) {
            mCloser.finish(call, context);
        } else {
            retryOrRefuse(call, outcome, context);
        }
    }

    private void retryOrRefuse(CallState call, AttemptOutcome outcome, RoutingContext context) {
        boolean began =
                call.hasResponseBegun()
                        || outcome instanceof AttemptOutcome.Failed failed
                                && failed.responseBegan();
        if (began || outcome instanceof AttemptOutcome.Failed) {
            call.markPossiblyRun();
        }
        RefusalReason quarantined = mState.quarantine().refusal(call);
        RefusalReason withdrawal = call.withdrawal();
        if (!mState.mayDecide()) {
            mCloser.refuse(call, RefusalReason.NO_AUTHORITY, context);
        } else if (withdrawal != null) {
            mCloser.refuse(call, withdrawal, context);
        } else if (quarantined != null) {
            mCloser.refuse(call, quarantined, context);
        } else if (mayRetry(call, outcome, began, context)) {
            mState.enqueue(call);
        } else {
            mCloser.refuse(call, RefusalReason.ATTEMPTS_EXHAUSTED, context);
        }
    }

    private boolean mayRetry(
            CallState call, AttemptOutcome outcome, boolean began, RoutingContext context) {
        if (!mRetryPolicy.mayRetry(call.request(), outcome, began)) {
            return false;
        }
        if (outcome instanceof AttemptOutcome.NotSent) {
            call.countNotSent();
            return call.notSentAttempts() < NOT_SENT_LIMIT;
        }
        // A trial that its runner does not survive must not crash another one.
        return !call.isTrial()
                && call.attempts() - call.notSentAttempts() < attemptLimit(call)
                && mState.retryBudget()
                        .tryTakeRetry(call.request().target(), mState.limits(), context.now());
    }

    private int attemptLimit(CallState call) {
        return Math.min(call.request().attemptLimit(), mState.limits().attemptLimit());
    }

    private void callerDisconnected(CallId id, RoutingContext context) {
        CallState call = mState.calls().get(id);
        if (call == null) {
            mState.statistics().lateEvent();
            return;
        }
        mAttempts.cancel(call, "caller left", context);
        mCloser.abandon(call, context);
    }

    private void callerWithdrawn(CallId id, RefusalReason reason, RoutingContext context) {
        CallState call = mState.calls().get(id);
        if (call == null) {
            return;
        }
        call.withdrawn(reason);
        if (call.running() == null) {
            mCloser.refuse(call, reason, context);
        }
    }

    private void authorityChanged(boolean mayDecide, RoutingContext context) {
        mState.mayDecide(mayDecide);
        if (mayDecide) {
            return;
        }
        for (CallState call : mState.calls().withoutAttempt()) {
            mCloser.refuse(call, RefusalReason.NO_AUTHORITY, context);
        }
    }

    /**
     * Refuses the calls that are quarantined now, unless a runner is answering them. Running
     * attempts are cancelled, because a runner that has not begun to answer may be saved.
     */
    private void quarantineChanged(Quarantine quarantine, RoutingContext context) {
        mState.quarantine().change(quarantine);
        for (CallState call : mState.calls().all()) {
            RefusalReason reason = mState.quarantine().refusal(call);
            if (reason != null && !call.isBeingAnswered()) {
                mAttempts.cancel(call, "the prompt is quarantined", context);
                mCloser.refuse(call, reason, context);
            }
        }
    }

    /**
     * Applies new limits. Calls without a running attempt that have used up the new attempt limit
     * are refused, although the previous limit allowed another attempt.
     */
    private void limitsChanged(RoutingLimits limits, RoutingContext context) {
        mState.limits(limits);
        for (CallState call : mState.calls().withoutAttempt()) {
            if (call.attempts() - call.notSentAttempts() >= limits.attemptLimit()) {
                mCloser.refuse(call, RefusalReason.ATTEMPTS_EXHAUSTED, context);
            }
        }
    }

    private void refuseWaiting(RoutingContext context) {
        for (CallState call : mState.calls().withoutAttempt()) {
            mCloser.refuse(call, RefusalReason.DRAINING, context);
        }
    }

    private void expireOverdue(RoutingContext context) {
        CallState call = mState.calls().firstOverdue(context.now());
        while (call != null) {
            mAttempts.cancelOverdue(call, context);
            mCloser.refuse(call, RefusalReason.DEADLINE_PASSED, context);
            call = mState.calls().firstOverdue(context.now());
        }
    }
}
