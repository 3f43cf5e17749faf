package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;

/**
 * Circuit breaker of one endpoint: keeps calls away from it after a failure or a refusal. When the
 * back-off ends, one trial call is let through (half-open state). If the trial succeeds, the
 * back-off ends; if it fails, the back-off doubles.
 *
 * <p>Failures during a back-off do not extend it. When an endpoint dies, all its calls fail at
 * once, which is a single failure of the endpoint.
 */
final class EndpointBackoff {
    /**
     * First back-off: long enough for an endpoint that restarts a connection, and short compared
     * with the time that callers wait for a response.
     */
    static final Duration INITIAL_DELAY = Duration.ofMillis(250);

    /** Longest back-off; bounds the time for which a recovered endpoint stays unused. */
    static final Duration MAX_DELAY = Duration.ofSeconds(30);

    private Duration mDelay = Duration.ZERO;
    private Instant mUntil = Instant.MIN;
    private boolean mTrialRunning;

    /** Returns whether a call may be started on the endpoint now. */
    boolean allows(Instant now) {
        return mDelay.isZero() || !now.isBefore(mUntil) && !mTrialRunning;
    }

    /** Called when a call starts on the endpoint. Returns whether the call is a trial. */
    boolean callStarted() {
        if (mDelay.isZero()) {
            return false;
        }
        mTrialRunning = true;
        return true;
    }

    void trialEnded() {
        mTrialRunning = false;
    }

    /**
     * Called when a response to an attempt begins. Returns whether this ends the back-off. After a
     * single failure any response does: an endpoint that refused a call because it was full has
     * free capacity when another call ends. After repeated failures only a response to an attempt
     * that was started after the back-off time does.
     *
     * @param startedAt when the attempt was started
     */
    boolean responseBegan(Instant startedAt) {
        boolean ends = isActive() && (mDelay.equals(INITIAL_DELAY) || !startedAt.isBefore(mUntil));
        if (ends) {
            mDelay = Duration.ZERO;
            mUntil = Instant.MIN;
            mTrialRunning = false;
        }
        return ends;
    }

    void failed(Instant now) {
        if (now.isBefore(mUntil)) {
            return;
        }
        Duration doubled = mDelay.isZero() ? INITIAL_DELAY : mDelay.multipliedBy(2);
        mDelay = doubled.compareTo(MAX_DELAY) < 0 ? doubled : MAX_DELAY;
        mUntil = now.plus(mDelay);
    }

    /** Returns whether the endpoint is in back-off or waits for the result of a trial. */
    boolean isActive() {
        return !mDelay.isZero();
    }
}
