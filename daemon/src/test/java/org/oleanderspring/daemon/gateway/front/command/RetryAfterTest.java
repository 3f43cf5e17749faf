package org.oleanderspring.daemon.gateway.front.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.routing.WorkState;
import org.oleanderspring.daemon.front.Refusal;

class RetryAfterTest {
    private static final Duration READY_IN = Duration.ofSeconds(4);
    private static final int CALLERS = 40;

    /**
     * Pattern: retry wave. Guards against callers of one model that all return at the moment at
     * which it becomes ready, and against callers that return before.
     */
    @Test
    void callersOfOneModelReturnOneAfterTheOther() {
        SplittableRandom random = new SplittableRandom(7);
        StatusRefusalWriter writer = new StatusRefusalWriter(() -> random);
        Refusal refusal =
                new Refusal(
                        ErrorMessage.DEADLINE_TOO_SHORT, "too short", WorkState.NOT_RUN, READY_IN);
        TreeSet<Double> times = new TreeSet<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            times.add(Double.parseDouble(writer.retryAfter(refusal)));
        }
        assertThat("different times", times.size(), greaterThan(CALLERS / 2));
        assertThat("none before", times.first() >= READY_IN.toSeconds(), is(true));
        assertThat("none much later", times.last() <= 1.25 * READY_IN.toSeconds(), is(true));
    }
}
