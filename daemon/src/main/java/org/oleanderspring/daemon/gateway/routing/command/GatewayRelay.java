package org.oleanderspring.daemon.gateway.routing.command;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.port.command.ResponseListener;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.duty.command.EventSink;

/**
 * Passes the answer of one attempt on to the caller once routing has admitted it. Content waits
 * until then, and of a stream only whole events are passed on.
 */
final class GatewayRelay implements ResponseListener {
    private final AttemptId mAttempt;
    private final CallerAnswer mAnswer;
    private final EventSink<GatewayRoutingInput> mSink;
    private final @Nullable EventStreamSplitter mSplitter;
    private final CompletableFuture<Boolean> mAdmitted = new CompletableFuture<>();
    private volatile boolean mStopped;

    GatewayRelay(
            AttemptId attempt,
            CallerAnswer answer,
            EventSink<GatewayRoutingInput> sink,
            @Nullable EventStreamSplitter splitter) {
        mAttempt = attempt;
        mAnswer = answer;
        mSink = sink;
        mSplitter = splitter;
    }

    /** Lets the content pass. */
    void admit() {
        mAdmitted.complete(true);
    }

    /** Drops all further content. */
    void stop() {
        mStopped = true;
        mAdmitted.complete(false);
    }

    @Override
    public void responseBegan(int status, List<Header> headers) {
        mSink.offer(new GatewayRoutingInput.ResponseBegan(mAttempt, this, status, headers));
    }

    @Override
    public void contentReceived(byte[] bytes, Runnable consumed) {
        mAdmitted.thenAccept(admitted -> pass(bytes, admitted && !mStopped, consumed));
    }

    private void pass(byte[] bytes, boolean admitted, Runnable consumed) {
        if (!admitted) {
            consumed.run();
            return;
        }
        if (mSplitter == null) {
            mAnswer.write(bytes, null, consumed);
            return;
        }
        byte[] events = mSplitter.take(bytes);
        if (events.length == 0) {
            consumed.run();
            return;
        }
        mAnswer.write(events, EventStreamSplitter.lastId(events), consumed);
    }

    @Override
    public void attemptEnded(AttemptOutcome outcome) {
        mSink.offer(
                new GatewayRoutingInput.Event(
                        new RoutingEvent.AttemptFinished(mAttempt, checked(outcome))));
    }

    /** A stream that ends inside an event is not complete. */
    private AttemptOutcome checked(AttemptOutcome outcome) {
        boolean torn =
                outcome instanceof AttemptOutcome.Completed
                        && mSplitter != null
                        && mSplitter.isInsideEvent();
        return torn ? new AttemptOutcome.Failed("the stream ended inside an event", true) : outcome;
    }
}
