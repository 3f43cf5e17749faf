package org.oleanderspring.daemon.routing.command;

import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.daemon.front.IncomingCall;
import org.oleanderspring.daemon.front.command.CallIntake;
import org.oleanderspring.duty.command.DutyThread;
import org.oleanderspring.duty.command.OfferResult;

/**
 * Puts new calls into the ring of the routing duty.
 *
 * <p>New calls may fill only half of the ring. The other half stays free for the results of running
 * attempts, so a burst of calls cannot keep running calls from ending.
 */
public final class RoutingIntake implements CallIntake {
    private final DutyThread<RoutingInput> mRing;

    /**
     * Creates the intake.
     *
     * @param ring the ring of the routing duty
     */
    public RoutingIntake(DutyThread<RoutingInput> ring) {
        mRing = ring;
    }

    @Override
    public OfferResult accept(IncomingCall call) {
        if (mRing.used() > mRing.capacity() / 2) {
            return OfferResult.FULL;
        }
        return mRing.offer(new RoutingInput.CallAccepted(call));
    }

    @Override
    public void callerLeft(CallId call) {
        mRing.offer(new RoutingInput.Event(new RoutingEvent.CallerLeft(call)));
    }
}
