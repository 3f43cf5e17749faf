package org.oleanderspring.daemon.gateway.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.ResponseStream;
import org.oleanderspring.duty.command.ByteBudget;
import org.oleanderspring.duty.command.OfferResult;

class GatewayResponseRelayTest {
    private static final int PART_BYTES = 16 << 10;

    /** Several times the longest valid event. */
    private static final int PARTS = 256;

    private final List<GatewayRoutingInput> mInputs = new ArrayList<>();
    private int mForwarded;
    private int mConsumed;

    /**
     * Guards against a runner whose event has no end: its bytes fill the memory of the daemon until
     * the process is killed.
     */
    @Test
    void eventWithoutEndFailsTheAttempt() {
        GatewayResponseRelay relay =
                new GatewayResponseRelay(
                        new AttemptId(new CallId(1), 1),
                        new EndpointId("i-1@1"),
                        false,
                        new CallerResponse(new CountingStream()),
                        input -> {
                            mInputs.add(input);
                            return OfferResult.ACCEPTED;
                        },
                        new EventStreamSplitter(new ByteBudget(1 << 20)));
        relay.admit();
        byte[] part = new byte[PART_BYTES];
        Arrays.fill(part, (byte) 'x');
        for (int number = 0; number < PARTS; number++) {
            relay.contentReceived(part, () -> mConsumed++);
        }
        assertThat(mInputs, contains(instanceOf(GatewayRoutingInput.ResponseInvalid.class)));
        assertThat("consumed parts", mConsumed, is(PARTS));
        assertThat("forwarded parts", mForwarded, is(0));
    }

    /** Counts the parts of the body. */
    private final class CountingStream implements ResponseStream {
        @Override
        public void begin(int status, List<Header> headers) {}

        @Override
        public void write(byte[] bytes, Runnable written) {
            mForwarded++;
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
