package org.oleanderspring.core.port.command;

import java.util.List;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.routing.AttemptOutcome;

/** Receives the answer of one attempt, in order, on threads of the adapter. */
public interface ResponseListener {
    /**
     * The first byte of the answer arrived. Not called for an answer that says that the work did
     * not run.
     *
     * @param status the HTTP status
     * @param headers the headers to pass on
     */
    void responseBegan(int status, List<Header> headers);

    /**
     * A part of the answer arrived. The next part follows only after {@code consumed} has run, so a
     * slow caller slows the endpoint down.
     *
     * @param bytes the part; not changed afterwards
     * @param consumed to be run when the part was passed on
     */
    void contentReceived(byte[] bytes, Runnable consumed);

    /**
     * The attempt ended; called exactly once, as the last call.
     *
     * @param outcome how it ended
     */
    void attemptEnded(AttemptOutcome outcome);
}
