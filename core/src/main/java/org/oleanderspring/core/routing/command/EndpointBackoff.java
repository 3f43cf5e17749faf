package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;

/**
 * Keeps calls away from an endpoint that failed or refused. When the back-off ends, one trial call
 * is let through (half open); its success lifts the back-off, its failure doubles it.
 *
 * <p>Failures during a back-off do not lengthen it: when an endpoint dies, all its calls fail at
 * once, and this is one failure of the endpoint.
 */
final class EndpointBackoff {
    /** Long enough for a restarting connection, short against a caller's patience. */
    static final Duration FIRST = Duration.ofMillis(250);

    /** Bounds the time for which a recovered endpoint is left unused. */
    static final Duration LONGEST = Duration.ofSeconds(30);

    private Duration mLast = Duration.ZERO;
    private Instant mUntil = Instant.MIN;
    private boolean mTrialRunning;

    /** Returns whether a call may be started now. */
    boolean allows(Instant now) {
        return mLast.isZero() || !now.isBefore(mUntil) && !mTrialRunning;
    }

    /** Notes that a call starts; returns whether it is a trial. */
    boolean started() {
        if (mLast.isZero()) {
            return false;
        }
        mTrialRunning = true;
        return true;
    }

    void trialEnded() {
        mTrialRunning = false;
    }

    /**
     * Notes that an attempt has an answer; returns whether this lifts the back-off. After a first
     * failure any answer does: an endpoint that refused a call because it was full has a place when
     * another call ends. After repeated failures only an answer to a later attempt does.
     *
     * @param startedAt when the attempt was started
     */
    boolean succeeded(Instant startedAt) {
        boolean lifts = isActive() && (mLast.equals(FIRST) || !startedAt.isBefore(mUntil));
        if (lifts) {
            mLast = Duration.ZERO;
            mUntil = Instant.MIN;
            mTrialRunning = false;
        }
        return lifts;
    }

    void failed(Instant now) {
        if (now.isBefore(mUntil)) {
            return;
        }
        Duration doubled = mLast.isZero() ? FIRST : mLast.multipliedBy(2);
        mLast = doubled.compareTo(LONGEST) < 0 ? doubled : LONGEST;
        mUntil = now.plus(mLast);
    }

    /** Returns whether the endpoint is in back-off or waits for a trial's result. */
    boolean isActive() {
        return !mLast.isZero();
    }
}
