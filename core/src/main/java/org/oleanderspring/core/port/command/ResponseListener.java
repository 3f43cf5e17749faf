package org.oleanderspring.core.port.command;

import java.util.List;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.routing.AttemptOutcome;

/** Receives the response to one attempt, in order, on threads of the HTTP client. */
public interface ResponseListener {
    /**
     * Called when the head of a response has arrived, with what the endpoint says in it about
     * itself, whatever the response says about the call. Comes before the other callbacks. Not
     * called for a response that belongs to another attempt. Does nothing by default.
     *
     * @param statement what the endpoint says
     */
    default void endpointStated(EndpointStatement statement) {}

    /**
     * Called when the first byte of the response has arrived. Not called for a response which
     * states that the work did not run.
     *
     * @param status the HTTP status
     * @param headers the headers to forward
     */
    void responseBegan(int status, List<Header> headers);

    /**
     * Called when a part of the response body has arrived. The next part follows only after {@code
     * consumed} has run, so a slow caller slows the endpoint down (back-pressure).
     *
     * @param bytes the part; not modified afterwards
     * @param consumed must be run once the part has been passed on
     */
    void contentReceived(byte[] bytes, Runnable consumed);

    /**
     * Called exactly once, as the last callback, when the attempt has ended.
     *
     * @param outcome how the attempt ended
     */
    void attemptEnded(AttemptOutcome outcome);
}
