package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.port.command.RunningAttempt;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.runner.RunnerRegistration;

/**
 * An attempt at a runner.
 *
 * @param attempt cancels the attempt
 * @param relay forwards the response
 * @param runner the runner
 * @param startedAt when the attempt was started
 * @param response the response, or null if it has not begun
 */
record ActiveAttempt(
        RunningAttempt attempt,
        GatewayResponseRelay relay,
        RunnerRegistration runner,
        Instant startedAt,
        @Nullable Response response) {
    /**
     * A runner that has sent this many events has written an answer and not crashed under it. The
     * number does not depend on times, which are wrong after the VM was suspended.
     */
    private static final int EVENTS_OF_A_SOUND_PROMPT = 8;

    private static final int OK = 200;

    /**
     * The response of an attempt.
     *
     * @param beganAt when it began
     * @param status its HTTP status
     */
    record Response(Instant beganAt, int status) {}

    ActiveAttempt withResponse(Response began) {
        return new ActiveAttempt(attempt, relay, runner, startedAt, began);
    }

    /** Returns the time since the attempt was started. */
    Duration age(Instant now) {
        return Duration.between(startedAt, now);
    }

    /** Returns the time since the response began, or null if it has not. */
    @Nullable Duration responseAge(Instant now) {
        return response == null ? null : Duration.between(response.beganAt(), now);
    }

    /** Returns whether the response so far shows that the prompt does not crash the runner. */
    boolean provesPromptSound() {
        return relay.completeEvents() >= EVENTS_OF_A_SOUND_PROMPT;
    }

    /** Returns whether the end of the attempt shows that the prompt does not crash the runner. */
    boolean provesPromptSound(AttemptOutcome outcome) {
        boolean isWhole =
                outcome instanceof AttemptOutcome.Completed completed
                        && completed.isDelimited()
                        && response != null
                        && response.status() == OK;
        return isWhole || provesPromptSound();
    }

    /** Returns whether the runner may have ended because it began to answer the prompt. */
    boolean suggestsCrash(AttemptOutcome outcome) {
        return outcome instanceof AttemptOutcome.Failed failed
                && failed.connectionLost()
                && !provesPromptSound();
    }
}
