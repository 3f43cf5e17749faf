package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import org.oleanderspring.core.routing.AttemptOutcome;

/** Starts and stops attempts, and learns from their ends. */
final class AttemptControl {
    private final RoutingState mState;

    AttemptControl(RoutingState state) {
        mState = state;
    }

    void start(CallState call, ReplicaSlot slot, String reason, RoutingTurn turn) {
        mState.dequeue(call);
        boolean trial = slot.endpoint().backoff().started();
        call.target().started(slot);
        call.started(slot, turn.now(), trial);
        mState.tally().started(call.attempts());
        if (call.attempts() == 1) {
            mState.retries().firstAttempt(call.request().target(), mState.limits(), turn.now());
        }
        turn.add(
                new RoutingDecision.StartAttempt(
                        call.lastAttempt(),
                        slot.endpoint().id(),
                        call.request().deadline(),
                        trial ? "trial after back-off" : reason));
    }

    void answerBegan(CallState call, RunningAttemptState attempt, Instant now) {
        if (call.hasAnswerBegun()) {
            return;
        }
        call.answerBegan();
        mState.calls().answerBegan(call);
        call.target().times().firstByteObserved(Duration.between(attempt.startedAt(), now));
        succeeded(attempt);
    }

    private void succeeded(RunningAttemptState attempt) {
        EndpointState endpoint = attempt.slot().endpoint();
        if (endpoint.answered(attempt.startedAt())) {
            endpoint.listedBy().forEach(mState::touch);
        }
    }

    /** Takes note of an attempt's end; the call is without an attempt afterwards. */
    void ended(CallState call, RunningAttemptState attempt, AttemptOutcome outcome, Instant now) {
        detach(call, attempt);
        EndpointState endpoint = attempt.slot().endpoint();
        if (outcome instanceof AttemptOutcome.Completed) {
            answerBegan(call, attempt, now);
            call.target().times().wholeObserved(Duration.between(attempt.startedAt(), now));
            succeeded(attempt);
        } else if (outcome instanceof AttemptOutcome.NotRun notRun && notRun.endpointDraining()) {
            mState.fleet().drain(endpoint.id(), now);
        } else if (outcome instanceof AttemptOutcome.NotHeld) {
            attempt.slot().notHeld(now);
        } else {
            endpoint.backoff().failed(now);
        }
    }

    /**
     * Cancels the running attempt, if any. Its place is free at once, because the cancellation is
     * sent before any later attempt; for a moment the endpoint may see both. An end of the attempt
     * that is still reported is dropped as late.
     */
    void cancel(CallState call, String reason, RoutingTurn turn) {
        RunningAttemptState attempt = call.running();
        if (attempt == null) {
            return;
        }
        turn.add(new RoutingDecision.CancelAttempt(call.lastAttempt(), reason));
        detach(call, attempt);
        call.mayHaveRun();
    }

    /** Cancels the running attempt, if any, because no byte of its answer came in time. */
    void cancelOverdue(CallState call, RoutingTurn turn) {
        RunningAttemptState attempt = call.running();
        if (attempt == null) {
            return;
        }
        cancel(call, "deadline passed", turn);
        if (call.hasAnswerBegun()) {
            return;
        }
        Duration elapsed = Duration.between(attempt.startedAt(), turn.now());
        ServiceTimes times = call.target().times();
        EndpointState endpoint = attempt.slot().endpoint();
        boolean hadUsualTime = elapsed.compareTo(times.firstByte()) >= 0;
        boolean silent = hadUsualTime && endpoint.unanswered();
        if (silent || times.isSuspiciouslyLong(elapsed)) {
            endpoint.backoff().failed(turn.now());
        } else {
            times.firstByteMissed(elapsed);
        }
    }

    private void detach(CallState call, RunningAttemptState attempt) {
        call.stopped();
        call.target().ended(attempt.slot());
        if (attempt.trial()) {
            attempt.slot().endpoint().backoff().trialEnded();
        }
        mState.touch(call.target());
    }
}
