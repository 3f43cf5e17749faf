package org.oleanderspring.daemon.routing.command;

import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.daemon.front.IncomingCall;
import org.oleanderspring.daemon.front.command.CallIntake;
import org.oleanderspring.daemon.wiring.command.Rings;
import org.oleanderspring.duty.command.DutyThread;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.command.OfferResult;

/**
 * Offers new calls to the ring of the routing duty.
 *
 * <p>New calls may fill only half of the ring. The other half is reserved for the results of
 * running attempts, so that a burst of calls cannot prevent running calls from ending.
 */
public final class RoutingIntake implements CallIntake {
    private final DutyThread<RoutingInput> mRing;
    private final EventSink<RoutingInput> mRetryingRing;

    /**
     * Creates the intake.
     *
     * @param rings the rings of the duties
     */
    public RoutingIntake(Rings rings) {
        mRing = rings.routingThread();
        mRetryingRing = rings.routing();
    }

    @Override
    public OfferResult accept(IncomingCall call) {
        if (mRing.used() > mRing.capacity() / 2) {
            return OfferResult.FULL;
        }
        return mRing.offer(new RoutingInput.CallAccepted(call));
    }

    @Override
    public void callerDisconnected(CallId call) {
        mRetryingRing.offer(new RoutingInput.Event(new RoutingEvent.CallerDisconnected(call)));
    }
}
