package org.oleanderspring.core.routing.command;

import java.time.Instant;
import org.oleanderspring.core.routing.IntakeState;

/**
 * Why, until when and how much an endpoint takes new calls: it may leave, fail, or limit the rate
 * of calls. Several of these can hold at a time.
 */
final class EndpointIntake {
    private final EndpointBackoff mBackoff = new EndpointBackoff();
    private final CallPermits mPermits = new CallPermits();
    private boolean mLeaving;

    EndpointBackoff backoff() {
        return mBackoff;
    }

    CallPermits permits() {
        return mPermits;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    /** Records that the endpoint takes no new calls any more. */
    void leave() {
        mLeaving = true;
    }

    /** Returns whether a call may start now. */
    boolean allows(Instant now) {
        return allowsWithPermit(now) && mPermits.allows(now);
    }

    /** Returns whether a call with a permit may start now. */
    boolean allowsWithPermit(Instant now) {
        return !mLeaving && mBackoff.allows(now);
    }

    /** Records the start of a call. Returns whether the call is a trial after a back-off. */
    boolean callStarted(Instant now) {
        mPermits.callStarted(now);
        return mBackoff.callStarted();
    }

    /** Returns the state that keeps most calls away. */
    IntakeState state() {
        if (mLeaving) {
            return IntakeState.LEAVING;
        }
        if (mBackoff.isActive()) {
            return IntakeState.FAILING;
        }
        return mPermits.isLimited() ? IntakeState.LIMITED : IntakeState.OPEN;
    }
}
