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
}
