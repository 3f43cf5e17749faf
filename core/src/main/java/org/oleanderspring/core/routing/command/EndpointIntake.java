package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import org.oleanderspring.core.routing.IntakeState;

/**
 * Why, until when and how much an endpoint takes new calls: it may leave, fail, turn calls away for
 * a time, or limit the rate of calls. Several of these can hold at a time.
 */
final class EndpointIntake {
    private final EndpointBackoff mBackoff = new EndpointBackoff();
    private final CallPermits mPermits = new CallPermits();
    private final EndpointMemory mMemory = new EndpointMemory();
    private boolean mLeaving;

    /** Until when the endpoint wants no calls of this daemon. */
    private Instant mPausedUntil = Instant.MIN;

    EndpointBackoff backoff() {
        return mBackoff;
    }

    CallPermits permits() {
        return mPermits;
    }

    EndpointMemory memory() {
        return mMemory;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    /** Records that the endpoint takes no new calls any more. */
    void leave() {
        mLeaving = true;
    }

    /**
     * Records that the endpoint wants no calls of this daemon for a time. A shorter time that it
     * names later, in the response to a call that started earlier, does not end a longer one.
     */
    void pause(Duration time, Instant now) {
        Instant until = now.plus(time);
        mPausedUntil = until.isAfter(mPausedUntil) ? until : mPausedUntil;
    }

    /** Returns the time at which a pause of the endpoint ends; not before now. */
    Instant pausedUntil(Instant now) {
        return mPausedUntil.isAfter(now) ? mPausedUntil : now;
    }

    private boolean isPaused(Instant now) {
        return now.isBefore(mPausedUntil);
    }

    /** Returns whether a call may start now. */
    boolean allows(Instant now) {
        return allowsWithPermit(now) && mPermits.allows(now);
    }

    /** Returns whether a call with a permit may start now. */
    boolean allowsWithPermit(Instant now) {
        return !mLeaving && !isPaused(now) && mBackoff.allows(now);
    }

    /** Records the start of a call. Returns whether the call is a trial after a back-off. */
    boolean callStarted(Instant now) {
        mPermits.callStarted(now);
        return mBackoff.callStarted();
    }

    /** Returns the state that keeps most calls away. */
    IntakeState state(Instant now) {
        if (mLeaving) {
            return IntakeState.LEAVING;
        }
        if (isPaused(now)) {
            return IntakeState.TURNED_AWAY;
        }
        if (mBackoff.isActive()) {
            return IntakeState.FAILING;
        }
        return mPermits.isLimited() ? IntakeState.LIMITED : IntakeState.OPEN;
    }
}
