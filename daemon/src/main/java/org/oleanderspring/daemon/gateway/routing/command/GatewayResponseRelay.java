package org.oleanderspring.daemon.gateway.routing.command;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.port.command.ResponseListener;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.duty.command.EventSink;

/**
 * Forwards the response of one attempt to the caller once the routing duty has admitted it. The
 * body is held back until then. Of an event stream, only complete events are forwarded.
 */
final class GatewayResponseRelay implements ResponseListener {
    private final AttemptId mAttempt;
    private final EndpointId mRunner;
    private final boolean mRunnerIsLimited;
    private final CallerResponse mResponse;
    private final EventSink<GatewayRoutingInput> mSink;
    private final @Nullable EventStreamSplitter mSplitter;
    private final CompletableFuture<Boolean> mAdmitted = new CompletableFuture<>();
    private volatile boolean mStopped;
    private volatile int mCompleteEvents;

    GatewayResponseRelay(
            AttemptId attempt,
            EndpointId runner,
            boolean runnerIsLimited,
            CallerResponse response,
            EventSink<GatewayRoutingInput> sink,
            @Nullable EventStreamSplitter splitter) {
        mAttempt = attempt;
        mRunner = runner;
        mRunnerIsLimited = runnerIsLimited;
        mResponse = response;
        mSink = sink;
        mSplitter = splitter;
    }

    /** Starts to forward the body; called by the routing duty. */
    void admit() {
        mAdmitted.complete(true);
    }

    /** Discards the rest of the body; called by the routing duty. */
    void stop() {
        mStopped = true;
        mAdmitted.complete(false);
    }

    /** Returns the number of complete events that the runner has sent in this attempt. */
    int completeEvents() {
        return mCompleteEvents;
    }

    /** Passes on what changes something: that a limit has ended, or any statement but none. */
    @Override
    public void endpointStated(EndpointStatement statement) {
        if (mRunnerIsLimited || !statement.equals(EndpointStatement.NONE)) {
            mSink.offer(new GatewayRoutingInput.RunnerStated(mRunner, statement));
        }
    }

    @Override
    public void responseBegan(int status, List<Header> headers) {
        mSink.offer(new GatewayRoutingInput.ResponseBegan(mAttempt, this, status, headers));
    }

    @Override
    public void contentReceived(byte[] bytes, Runnable consumed) {
        mAdmitted.thenAccept(admitted -> forward(bytes, admitted && !mStopped, consumed));
    }

    private void forward(byte[] bytes, boolean admitted, Runnable consumed) {
        if (!admitted) {
            consumed.run();
            return;
        }
        if (mSplitter == null) {
            mResponse.write(bytes, null, consumed);
            return;
        }
        byte[] events = mSplitter.append(bytes);
        mCompleteEvents = mSplitter.completeEvents();
        if (events.length == 0) {
            if (mSplitter.isEventTooLong()) {
                mSplitter.close();
                stop();
                mSink.offer(
                        new GatewayRoutingInput.ResponseInvalid(
                                mAttempt, "an event of the stream is too long"));
            }
            consumed.run();
            return;
        }
        mResponse.write(events, EventStreamSplitter.lastId(events), consumed);
    }

    @Override
    public void attemptEnded(AttemptOutcome outcome) {
        mSink.offer(
                new GatewayRoutingInput.Event(
                        new RoutingEvent.AttemptFinished(mAttempt, failIfTruncated(outcome))));
        if (mSplitter != null) {
            mSplitter.close();
        }
    }

    /** Turns the completion of a stream that ended inside an event into a failure. */
    private AttemptOutcome failIfTruncated(AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.Completed completed
                && mSplitter != null
                && mSplitter.isInsideEvent()) {
            return new AttemptOutcome.Failed(
                    "the stream ended inside an event", true, !completed.isDelimited());
        }
        return outcome;
    }
}
