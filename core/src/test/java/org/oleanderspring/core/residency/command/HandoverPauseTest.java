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
    private static final Instant PAUSE_END = START.plusMillis(3_000);
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
    private List<EndpointId> listRunners(long millis, EndpointId... runners) {
        Instant now = START.plusMillis(millis);
        return List.of(runners).isEmpty()
                ? readRunners(new ResidencyEvent.RunnersListed(List.of()), now)
                : readRunners(
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

    /** Returns the runners whose state the decider reads in response to an event. */
    private List<EndpointId> readRunners(ResidencyEvent event, Instant now) {
        return mDecider.decide(event, now).stream()
                .filter(ResidencyDecision.ReadState.class::isInstance)
                .map(decision -> ((ResidencyDecision.ReadState) decision).runner())
                .toList();
    }

    private List<EndpointId> beginTenure() {
        return readRunners(
                new ResidencyEvent.TenureBegan(
                        new FencingToken(2), START, Map.of(ORDERED, PAUSE_END)),
                START);
    }

    private List<EndpointId> fireTimer(Instant now) {
        return readRunners(new ResidencyEvent.TimerFired(), now);
    }

    /** A runner whose entry disappears and returns must still wait. */
    @Test
    void runnerThatReturnsKeepsItsPause() {
        listRunners(-100, ORDERED, IDLE);
        assertThat(beginTenure(), contains(IDLE));
        listRunners(500, IDLE);
        assertThat(listRunners(800, ORDERED, IDLE), empty());
        assertThat(fireTimer(PAUSE_END.minusMillis(1)), empty());
        assertThat(fireTimer(PAUSE_END), contains(ORDERED));
    }

    /** A newly registered runner may be the ordered one after a restart. */
    @Test
    void runnerThatJoinsWaitsForTheLongestPause() {
        listRunners(-100, ORDERED, IDLE);
        beginTenure();
        assertThat(listRunners(800, IDLE, JOINED), empty());
        assertThat(fireTimer(PAUSE_END), contains(JOINED));
    }

    /** The ordered runner may be registered under another identifier when the tenure begins. */
    @Test
    void runnerThatRestartedBeforeTheTenureWaits() {
        listRunners(-100, JOINED, IDLE);
        assertThat(beginTenure(), empty());
        assertThat(fireTimer(PAUSE_END.minus(Duration.ofMillis(1))), empty());
        assertThat(fireTimer(PAUSE_END), contains(JOINED, IDLE));
    }
}
