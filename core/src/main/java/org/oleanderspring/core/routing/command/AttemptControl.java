package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import org.oleanderspring.core.routing.AttemptOutcome;

/** Starts and cancels attempts, and updates service times and back-offs when attempts end. */
final class AttemptControl {
    private final RoutingState mState;

    AttemptControl(RoutingState state) {
        mState = state;
    }

    void start(CallState call, TrackedReplica replica, String reason, RoutingContext context) {
        mState.dequeue(call);
        mState.shares().started(call.rank());
        replica.endpoint().intake().memory().add(call.request().origin().tokens());
        boolean trial = replica.endpoint().intake().callStarted(context.now());
        call.target().attemptStarted(replica);
        call.attemptStarted(replica, context.now(), trial);
        mState.statistics().attemptStarted(call.attempts());
        if (call.attempts() == 1) {
            Duration firstByte = call.target().times().firstByte();
            if (call.target().refusals().started(call, firstByte, context.now())) {
                mState.statistics().refusedServable();
            }
            mState.retryBudget()
                    .recordFirstAttempt(call.request().target(), mState.limits(), context.now());
        }
        context.add(
                new RoutingDecision.StartAttempt(
                        call.lastAttempt(),
                        replica.endpoint().id(),
                        call.request().deadline(),
                        trial ? "trial after back-off" : reason));
    }

    /**
     * Processes the begin of a response.
     *
     * @param isError whether the response reports an error, which shows nothing of the pace
     */
    void responseBegan(CallState call, RunningAttemptState attempt, boolean isError, Instant now) {
        call.attemptAnswered();
        if (call.hasResponseBegun()) {
            return;
        }
        call.responseBegan();
        mState.calls().responseBegan(call);
        Duration firstByte = Duration.between(attempt.startedAt(), now);
        call.target().times().recordFirstByte(firstByte);
        if (!isError) {
            recordPace(call, attempt.replica(), firstByte, now);
        }
        recordResponse(attempt);
    }

    /**
     * Adds a sample of the pace. At an endpoint that runs as many calls as it can, a call waits for
     * others to end, which is a matter of load.
     */
    private void recordPace(
            CallState call, TrackedReplica replica, Duration firstByte, Instant now) {
        EndpointState endpoint = replica.endpoint();
        if (endpoint.callsOfAllDaemons(now) > replica.concurrency()) {
            return;
        }
        mState.usualTimes()
                .compare(call, firstByte, endpoint.pace(now))
                .ifPresent(endpoint::addPace);
    }

    private void recordResponse(RunningAttemptState attempt) {
        EndpointState endpoint = attempt.replica().endpoint();
        if (endpoint.responseBegan(attempt.startedAt())) {
            endpoint.targets().forEach(mState::markForDispatch);
        }
    }

    /** Processes the end of an attempt. Afterwards the call has no running attempt. */
    void attemptEnded(
            CallState call, RunningAttemptState attempt, AttemptOutcome outcome, Instant now) {
        detach(call, attempt);
        EndpointState endpoint = attempt.replica().endpoint();
        if (outcome instanceof AttemptOutcome.Completed) {
            responseBegan(call, attempt, false, now);
            Duration total = Duration.between(attempt.startedAt(), now);
            call.target().times().recordTotalTime(total);
            mState.usualTimes().recordTotalTime(call, total);
            // If the response began earlier, the endpoint may have refused another call since
            // then; the end of this call frees capacity, which can end that back-off.
            recordResponse(attempt);
        } else if (outcome instanceof AttemptOutcome.NotRun notRun && notRun.endpointDraining()) {
            mState.fleet().drain(endpoint.id(), now);
        } else if (outcome instanceof AttemptOutcome.NotHeld) {
            attempt.replica().markNotHeld(now);
        } else {
            endpoint.intake().backoff().failed(now);
        }
    }

    /**
     * Cancels the running attempt, if any. Its capacity is free at once, because the cancellation
     * is sent before any later attempt; the endpoint may see both for a short time. If the end of
     * the cancelled attempt is still reported, it is counted as a late event and has no other
     * effect.
     */
    void cancel(CallState call, String reason, RoutingContext context) {
        RunningAttemptState attempt = call.running();
        if (attempt == null) {
            return;
        }
        context.add(new RoutingDecision.CancelAttempt(call.lastAttempt(), reason));
        if (!call.isBeingAnswered()) {
            Duration elapsed = Duration.between(attempt.startedAt(), context.now());
            mState.usualTimes()
                    .compareUnanswered(call, elapsed)
                    .ifPresent(attempt.replica().endpoint()::addPace);
        }
        detach(call, attempt);
        call.markPossiblyRun();
    }

    /**
     * Cancels the running attempt, if any, of a call whose deadline has passed. An attempt without
     * a byte of its response counts as a failure of the endpoint in two cases: its duration alone
     * indicates a fault ({@link ServiceTimes#indicatesFault}), or it lasted at least the average
     * time to first byte and the endpoint has now left too many consecutive attempts unanswered
     * ({@link EndpointState#attemptUnanswered}). Otherwise its duration becomes a sample of the
     * time to first byte, if this raises the average.
     */
    void cancelOverdue(CallState call, RoutingContext context) {
        RunningAttemptState attempt = call.running();
        if (attempt == null) {
            return;
        }
        cancel(call, "deadline passed", context);
        if (call.hasResponseBegun()) {
            return;
        }
        Duration elapsed = Duration.between(attempt.startedAt(), context.now());
        ServiceTimes times = call.target().times();
        EndpointState endpoint = attempt.replica().endpoint();
        boolean lastedAverageTime = elapsed.compareTo(times.firstByte()) >= 0;
        boolean unresponsive = lastedAverageTime && endpoint.attemptUnanswered();
        if (unresponsive || times.indicatesFault(elapsed)) {
            endpoint.intake().backoff().failed(context.now());
        } else {
            times.recordMissingFirstByte(elapsed);
        }
    }

    private void detach(CallState call, RunningAttemptState attempt) {
        call.attemptEnded();
        call.target().attemptEnded(attempt.replica());
        attempt.replica().endpoint().intake().memory().remove(call.request().origin().tokens());
        if (attempt.trial()) {
            attempt.replica().endpoint().intake().backoff().trialEnded();
        }
        mState.markForDispatch(call.target());
    }
}
