package org.oleanderspring.daemon.gateway.routing.command;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.core.runner.CachedWeights;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.ResponseStream;
import org.oleanderspring.duty.command.ByteBudget;
import org.oleanderspring.duty.command.OfferResult;

/** What the end of an attempt shows about its prompt. */
class ActiveAttemptTest {
    private static final AttemptOutcome CONNECTION_LOST =
            new AttemptOutcome.Failed("reset", true, true);

    private final List<GatewayRoutingInput> mInputs = new ArrayList<>();
    private final GatewayResponseRelay mRelay =
            new GatewayResponseRelay(
                    new AttemptId(new CallId(1), 1),
                    new EndpointId("i-1@1"),
                    false,
                    new CallerResponse(new DiscardingStream()),
                    input -> {
                        mInputs.add(input);
                        return OfferResult.ACCEPTED;
                    },
                    new EventStreamSplitter(new ByteBudget(1 << 20)));

    private ActiveAttempt attempt(int status) {
        RunnerRegistration runner =
                new RunnerRegistration(
                        new EndpointId("i-1@1"),
                        "i-1",
                        new ServiceName("engine"),
                        new Address("127.0.0.1", 9),
                        new FailureDomain("east"),
                        4,
                        false,
                        null,
                        List.of(),
                        CachedWeights.NONE);
        return new ActiveAttempt(() -> {}, mRelay, runner, Instant.EPOCH, null)
                .withResponse(new ActiveAttempt.Response(Instant.EPOCH, status));
    }

    private void receiveEvents(int count) {
        mRelay.admit();
        String events = "data: x\n\n".repeat(count);
        mRelay.contentReceived(events.getBytes(UTF_8), () -> {});
    }

    /** Guards against suspecting a prompt that was answered for a while before its runner ended. */
    @Test
    void onlyTheBeginningOfAnAnswerIsSuspect() {
        receiveEvents(7);
        assertThat(attempt(200).suggestsCrash(CONNECTION_LOST), is(true));
        receiveEvents(1);
        assertThat(attempt(200).suggestsCrash(CONNECTION_LOST), is(false));
        assertThat(attempt(200).provesPromptSound(), is(true));
    }

    /** Guards against timeouts and invalid responses that count as ends of runners. */
    @Test
    void failureWithAnOpenConnectionIsNotSuspect() {
        AttemptOutcome timeout = new AttemptOutcome.Failed("timed out", false);
        assertThat(attempt(200).suggestsCrash(timeout), is(false));
    }

    /**
     * Guards against a crash that looks like a short answer without a length and clears its cause.
     */
    @Test
    void endOfTheConnectionDoesNotProveAPromptSound() {
        AttemptOutcome undelimited = new AttemptOutcome.Completed(false);
        assertThat(attempt(200).provesPromptSound(undelimited), is(false));
        assertThat(attempt(200).provesPromptSound(new AttemptOutcome.Completed()), is(true));
        assertThat(attempt(500).provesPromptSound(new AttemptOutcome.Completed()), is(false));
    }

    /** Guards against a stream that ends inside an event with its runner and counts as complete. */
    @Test
    void undelimitedStreamThatEndsInsideAnEventIsALostConnection() {
        mRelay.admit();
        mRelay.contentReceived("data: x".getBytes(UTF_8), () -> {});
        mRelay.attemptEnded(new AttemptOutcome.Completed(false));
        GatewayRoutingInput.Event event = (GatewayRoutingInput.Event) mInputs.get(0);
        AttemptOutcome outcome = ((RoutingEvent.AttemptFinished) event.event()).outcome();
        assertThat(attempt(200).suggestsCrash(outcome), is(true));
    }

    private static final class DiscardingStream implements ResponseStream {
        @Override
        public void begin(int status, List<Header> headers) {}

        @Override
        public void write(byte[] bytes, Runnable written) {
            written.run();
        }

        @Override
        public void finish() {}

        @Override
        public void refuse(Refusal refusal) {}

        @Override
        public void abandon() {}
    }
}
