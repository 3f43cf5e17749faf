package org.oleanderspring.daemon.front.command;

import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.daemon.front.IncomingCall;
import org.oleanderspring.duty.command.OfferResult;

/** Takes calls for routing without blocking. */
public interface CallIntake {
    /**
     * Offers a call.
     *
     * @param call the call
     * @return whether it was taken; a call that was not taken has to be refused
     */
    OfferResult accept(IncomingCall call);

    /**
     * Reports that a caller closed its connection.
     *
     * @param call the call
     */
    void callerLeft(CallId call);
}
