package org.oleanderspring.core.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Many daemons before few replicas: one daemon alone sees neither the load of a replica nor that it
 * is slow. Without shared loads, these checks fail.
 */
class SharedLoadTest {
    private static final Duration TIME = Duration.ofSeconds(60);

    /** Within this time the callers of the busy models expect the first event. */
    private static final Duration AIM = Duration.ofMillis(500);

    private static SharedLoadSimulation run(long seed, double... slowness) {
        SharedLoadSimulation simulation = new SharedLoadSimulation(seed, true, slowness);
        simulation.run(TIME);
        return simulation;
    }

    /**
     * Pattern: a popular prefix. Guards against a replica that takes the calls of all daemons while
     * another one is idle, because each daemon prefers the same replica.
     */
    @Test
    void popularPrefixDoesNotFillOneReplica() {
        for (long seed = 1; seed <= 5; seed++) {
            SharedLoadSimulation simulation = run(seed, 1, 1);
            assertThat("seed " + seed, simulation.share(0), lessThan(0.65));
            assertThat("seed " + seed, simulation.share(1), lessThan(0.65));
            assertThat("seed " + seed, simulation.shareWithin(AIM), greaterThan(0.95));
        }
    }

    /**
     * Pattern: slow steps. A replica that takes five times as long should get about a fifth of the
     * calls of the others, that is a share of 0.09; twice this share is allowed.
     */
    @Test
    void slowReplicaGetsFewCalls() {
        for (long seed = 1; seed <= 5; seed++) {
            SharedLoadSimulation simulation = run(seed, 1, 5, 1);
            assertThat("seed " + seed, simulation.share(1), lessThan(0.18));
        }
    }

    /**
     * Pattern: uneven runners that have room. Of two that differ in speed by nearly two, the fast
     * one should get more than its share by speed, 0.64, and the slow one a part as well.
     */
    @Test
    void fastReplicaGetsMoreCallsWhileBothHaveRoom() {
        for (long seed = 1; seed <= 5; seed++) {
            SharedLoadSimulation simulation = new SharedLoadSimulation(seed, true, 0.8, 1.4);
            simulation.callsPerSecond(3);
            // Each of the 38 daemons needs a few calls to know what is usual.
            simulation.run(TIME.multipliedBy(8));
            assertThat("seed " + seed, simulation.share(0), greaterThan(0.66));
            assertThat("seed " + seed, simulation.share(1), greaterThan(0.05));
        }
    }

    /**
     * Pattern: slow steps for a while. A replica that becomes three times as slow should get a
     * third of its calls from 2 s later on, and about its former share 2 s after it is fast again.
     */
    @Test
    void replicaThatTurnsSlowIsRelievedWithinTwoSeconds() {
        double before = 0;
        double during = 0;
        double after = 0;
        for (long seed = 1; seed <= 20; seed++) {
            SharedLoadSimulation simulation = new SharedLoadSimulation(seed, true, 1, 1, 1);
            simulation.run(Duration.ofSeconds(20));
            before += simulation.calls(1);
            simulation.slowness(1, 3);
            simulation.run(Duration.ofSeconds(2));
            int slowed = simulation.calls(1);
            simulation.run(Duration.ofSeconds(10));
            during += simulation.calls(1) - slowed;
            simulation.slowness(1, 1);
            simulation.run(Duration.ofSeconds(2));
            int recovered = simulation.calls(1);
            simulation.run(Duration.ofSeconds(10));
            after += simulation.calls(1) - recovered;
        }
        before /= 2;
        assertThat(during / before, lessThan(1.0 / 3));
        assertThat(after / before, greaterThan(0.75));
    }
}
