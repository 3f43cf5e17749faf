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
 * Passes the answer of one attempt on to its caller.
 *
 * <p>Only the routing duty knows whether an attempt is still current, so the first byte waits until
 * the duty has admitted the answer. A call has at most one admitted attempt at a time, so the parts
 * of two attempts cannot mix, and an answer that comes late finds its relay denied. Parts flow from
 * the endpoint to the caller without passing the ring.
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
     * @param stream the way back to the caller
     * @param sink the ring of the routing duty
     */
    ResponseRelay(AttemptId attempt, ResponseStream stream, EventSink<RoutingInput> sink) {
        mAttempt = attempt;
        mStream = stream;
        mSink = sink;
    }

    /** Lets the answer through; called by the routing duty. */
    void admit() {
        mAdmitted.complete(true);
    }

    /** Drops the rest of the answer; called by the routing duty. */
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
