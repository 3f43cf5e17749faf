package org.oleanderspring.core.port.command;

import org.oleanderspring.core.port.EndpointCall;

/** Sends calls to endpoints. */
public interface EndpointCommands {
    /**
     * Starts an attempt.
     *
     * @param call what to send
     * @param listener receives the answer
     * @return stops the attempt
     */
    RunningAttempt start(EndpointCall call, ResponseListener listener);
}
