package org.oleanderspring.daemon.front.command;

import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.daemon.front.IncomingCall;
import org.oleanderspring.duty.command.OfferResult;

/** Accepts calls for routing without blocking; called on threads of the HTTP listener. */
public interface CallIntake {
    /**
     * Offers a call.
     *
     * @param call the call
     * @return whether it was accepted; if not, the caller of this method has to refuse the call
     */
    OfferResult accept(IncomingCall call);

    /**
     * Reports that a caller closed its connection; may be called more than once.
     *
     * @param call the id of the call
     */
    void callerDisconnected(CallId call);
}
