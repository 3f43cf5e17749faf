package org.oleanderspring.core.residency.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.IngressLimits;
import org.oleanderspring.core.route.ServiceDescription;

/**
 * Guards against orders to a runner during the pause after an order of the previous holder, when
 * the runner's entry disappears and returns or the runner restarts within the pause.
 */
class HandoverPauseTest {
    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final EngineDescription ENGINE =
            new EngineDescription(4, 1_000, 150, 3, 6, Map.of());
    private static final Instant START = Instant.EPOCH.plusSeconds(100);
    private static final Instant LATER = START.plusMillis(3_000);
    private static final EndpointId ORDERED = new EndpointId("ordered");
    private static final EndpointId IDLE = new EndpointId("idle");
    private static final EndpointId JOINED = new EndpointId("joined");

    private final DefaultResidencyDecider mDecider = new DefaultResidencyDecider(2);

    @BeforeEach
    void configure() {
        mDecider.decide(
                new ResidencyEvent.ConfigurationChanged(
                        new FleetConfiguration(
                                1,
                                List.of(),
                                Map.of(SERVICE, new ServiceDescription(SERVICE, "/", 10, ENGINE)),
                                IngressLimits.DEFAULT)),
                START);
    }

    /**
     * Lists runners. Returns those whose state the decider reads, which is its first step before
     * sending orders.
     */
    private List<EndpointId> list(long millis, EndpointId... runners) {
        Instant now = START.plusMillis(millis);
        return List.of(runners).isEmpty()
                ? read(new ResidencyEvent.RunnersListed(List.of()), now)
                : read(
                        new ResidencyEvent.RunnersListed(
                                List.of(runners).stream()
                                        .map(
                                                id ->
                                                        new SimulatedRunner(
                                                                        id.value(), SERVICE, ENGINE)
                                                                .entry(now))
                                        .toList()),
                        now);
    }

    private List<EndpointId> read(ResidencyEvent event, Instant now) {
        return mDecider.decide(event, now).stream()
                .filter(ResidencyDecision.ReadState.class::isInstance)
                .map(decision -> ((ResidencyDecision.ReadState) decision).runner())
                .toList();
    }

    private List<EndpointId> begin() {
        return read(
                new ResidencyEvent.TenureBegan(new FencingToken(2), START, Map.of(ORDERED, LATER)),
                START);
    }

    private List<EndpointId> timer(Instant now) {
        return read(new ResidencyEvent.TimerFired(), now);
    }

    /** A runner whose entry disappears and returns must still wait. */
    @Test
    void runnerThatReturnsKeepsItsPause() {
        list(-100, ORDERED, IDLE);
        assertThat(begin(), contains(IDLE));
        list(500, IDLE);
        assertThat(list(800, ORDERED, IDLE), empty());
        assertThat(timer(LATER.minusMillis(1)), empty());
        assertThat(timer(LATER), contains(ORDERED));
    }

    /** A newly registered runner may be the ordered one after a restart. */
    @Test
    void runnerThatJoinsWaitsForTheLongestPause() {
        list(-100, ORDERED, IDLE);
        begin();
        assertThat(list(800, IDLE, JOINED), empty());
        assertThat(timer(LATER), contains(JOINED));
    }

    /** The ordered runner may be registered under another identifier when the tenure begins. */
    @Test
    void runnerThatRestartedBeforeTheTenureWaits() {
        list(-100, JOINED, IDLE);
        assertThat(begin(), empty());
        assertThat(timer(LATER.minus(Duration.ofMillis(1))), empty());
        assertThat(timer(LATER), contains(JOINED, IDLE));
    }
}
