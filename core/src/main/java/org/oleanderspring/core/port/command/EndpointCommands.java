package org.oleanderspring.core.port.command;

import org.oleanderspring.core.port.EndpointCall;

/** Sends calls to endpoints. */
public interface EndpointCommands {
    /**
     * Starts an attempt.
     *
     * @param call the attempt to send
     * @param listener receives the response
     * @return a handle that can cancel the attempt
     */
    RunningAttempt start(EndpointCall call, ResponseListener listener);
}
