package org.oleanderspring.daemon.routing.command;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.port.command.ResponseListener;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.daemon.front.ResponseStream;
import org.oleanderspring.duty.command.EventSink;

/**
 * Forwards the response of one attempt to the caller.
 *
 * <p>Only the routing duty knows whether an attempt is still current, so the body is held back
 * until the duty has admitted the response. A call has at most one admitted attempt at a time, so
 * the parts of two responses cannot mix, and a late response is discarded because its relay was
 * denied. The body is forwarded from the endpoint to the caller without passing through the ring.
 */
public final class ResponseRelay implements ResponseListener {
    private final AttemptId mAttempt;
    private final ResponseStream mStream;
    private final EventSink<RoutingInput> mSink;
    private final CompletableFuture<Boolean> mAdmitted = new CompletableFuture<>();

    /**
     * Creates a relay.
     *
     * @param attempt the attempt
     * @param stream the response to the caller
     * @param sink the ring of the routing duty
     */
    ResponseRelay(AttemptId attempt, ResponseStream stream, EventSink<RoutingInput> sink) {
        mAttempt = attempt;
        mStream = stream;
        mSink = sink;
    }

    /** Starts to forward the response; called by the routing duty. */
    void admit() {
        mAdmitted.complete(true);
    }

    /** Discards a response that was not admitted; called by the routing duty. */
    void deny() {
        mAdmitted.complete(false);
    }

    @Override
    public void responseBegan(int status, List<Header> headers) {
        mSink.offer(new RoutingInput.ResponseBegan(mAttempt, this, status, headers));
    }

    @Override
    public void contentReceived(byte[] bytes, Runnable consumed) {
        mAdmitted.thenAccept(
                admitted -> {
                    if (!admitted) {
                        consumed.run();
                        return;
                    }
                    mStream.write(bytes, consumed);
                });
    }

    @Override
    public void attemptEnded(AttemptOutcome outcome) {
        mSink.offer(new RoutingInput.Event(new RoutingEvent.AttemptFinished(mAttempt, outcome)));
    }
}
