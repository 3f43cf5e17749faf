package org.oleanderspring.core.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against daemons that together send more calls to an endpoint than the rate that it has
 * named, and against a limit that is kept by not using the endpoint.
 */
class SharedLimitTest {
    private static final int SEEDS = 10;
    private static final Duration DEADLINE = Duration.ofSeconds(6);
    private static final Duration TIME = Duration.ofSeconds(30);

    /** Each seed plays daemons, limits and a division of the callers with some trouble. */
    private static void checkLimit(
            int daemons,
            double limit,
            double shareOfFirst,
            Consumer<SharedLimitSimulation> trouble) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            SharedLimitSimulation simulation =
                    new SharedLimitSimulation(seed, true, daemons, limit, limit / 2, 3 * limit);
            simulation.calls(60, shareOfFirst, DEADLINE);
            simulation.run(Duration.ofSeconds(6));
            trouble.accept(simulation);
            simulation.run(TIME);
            assertThat("seed " + seed, simulation.worstExcess(), lessThanOrEqualTo(0));
        }
    }

    /** Shows that the simulation sees the fault. */
    @Test
    void daemonsThatDoNotReadTheLimitExceedIt() {
        SharedLimitSimulation simulation = new SharedLimitSimulation(1, false, 4, 1, 2);
        simulation.calls(20, 0, DEADLINE);
        simulation.run(TIME);
        assertThat(simulation.worstExcess(), greaterThan(0));
    }

    @ParameterizedTest
    @CsvSource({"1, 1, 0", "4, 0.3, 0", "4, 2.2, 0", "4, 2.2, 0.9", "38, 1, 0", "38, 12, 0.7"})
    void limitIsKept(int daemons, double limit, double shareOfFirst) {
        checkLimit(daemons, limit, shareOfFirst, simulation -> {});
    }

    @ParameterizedTest
    @CsvSource({"4, 1", "4, 6", "38, 2.2"})
    void limitIsKeptWithoutItsIssuer(int daemons, double limit) {
        checkLimit(
                daemons,
                limit,
                0.3,
                simulation -> simulation.endIssuer(0, Duration.ofMillis(3_100)));
        checkLimit(
                daemons,
                limit,
                0.3,
                simulation -> simulation.suspendIssuer(0, Duration.ofSeconds(5)));
    }

    @ParameterizedTest
    @CsvSource({"4, 1", "4, 6", "38, 2.2"})
    void limitIsKeptWhileDaemonsAskDifferentIssuers(int daemons, double limit) {
        checkLimit(daemons, limit, 0.3, simulation -> simulation.cutFromIssuer(0));
        checkLimit(daemons, limit, 0.3, simulation -> simulation.lossRate(0.2));
    }

    /** Most of the rate that an endpoint offers is used if calls wait for it. */
    @ParameterizedTest
    @CsvSource({"4, 1", "4, 2.2", "38, 2.2", "4, 12"})
    void offeredRateIsUsed(int daemons, double limit) {
        SharedLimitSimulation simulation = new SharedLimitSimulation(7, true, daemons, limit);
        simulation.calls(4 * limit, 0, DEADLINE);
        simulation.run(TIME);
        int calls = simulation.callsWithin(0, Duration.ofSeconds(20));
        assertThat(calls, greaterThanOrEqualTo((int) (0.75 * limit * 20)));
    }

    /** Calls go to replicas without a limit, and none is refused because another one has one. */
    @Test
    void callsGoToReplicasWithoutALimit() {
        SharedLimitSimulation simulation = new SharedLimitSimulation(3, true, 4, 1, 1, 0);
        simulation.calls(12, 0, DEADLINE);
        simulation.run(TIME);
        assertThat(simulation.refused(), is(0));
    }

    /** A limit that is not named any more must not stay in force. */
    @Test
    void endpointIsUsedAgainAfterItsLimitHasEnded() {
        SharedLimitSimulation simulation = new SharedLimitSimulation(5, true, 4, 1);
        simulation.calls(10, 0, DEADLINE);
        simulation.run(Duration.ofSeconds(10));
        simulation.endLimit(0);
        simulation.run(Duration.ofSeconds(10));
        assertThat(simulation.callsWithin(0, Duration.ofSeconds(4)), greaterThan(30));
    }
}
