package org.oleanderspring.coordination.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oleanderspring.coordination.fake.VirtualTime;

/**
 * Guards against daemons that overload the key-value service when all of them notice the end of an
 * outage, and against polls that cost more reads in quiet times than before.
 */
class FleetReturnTest {
    private static final int READS_PER_SECOND = 2_000;
    private static final Duration SETTLE = Duration.ofSeconds(5);

    /** Polls of a watch without changes when the service delayed its answer for 3 s. */
    private static final double QUIET_READS_BEFORE = 1.0 / 3;

    @ParameterizedTest
    @CsvSource({"20", "300", "600"})
    void readsStayWithinTheBudget(int daemons) {
        VirtualTime time = new VirtualTime();
        SimulatedStore store = new SimulatedStore(time);
        WatchOptions options = new WatchOptions(SETTLE, Duration.ofMillis(800), READS_PER_SECOND);
        for (int daemon = 0; daemon < daemons; daemon++) {
            SimulatedWatcher watcher = new SimulatedWatcher(time, store, options, daemon);
            watcher.start(Duration.ofSeconds(2), daemons);
            time.advance(Duration.ofMillis(7));
            watcher.startRenewals();
        }
        time.advance(Duration.ofSeconds(10));
        Instant quietFrom = time.now();
        time.advance(Duration.ofSeconds(60));
        double quiet = count(store.reads(), quietFrom, time.now()) / 60.0 / daemons / 2;
        store.begin(StoreTrouble.SILENT);
        time.advance(Duration.ofSeconds(8));
        store.end();
        Instant end = time.now();
        time.advance(SETTLE);
        long most = most(store.reads(), end, time.now());
        System.out.printf(
                "%d daemons: %.3f reads a second and watch in quiet times, at most %d in a second"
                        + " after an outage%n",
                daemons, quiet, most);
        assertThat(quiet, lessThanOrEqualTo(QUIET_READS_BEFORE));
        assertThat(most, lessThanOrEqualTo(READS_PER_SECOND / 2L));
    }

    private static long count(List<Instant> times, Instant from, Instant to) {
        return times.stream().filter(at -> !at.isBefore(from) && at.isBefore(to)).count();
    }

    /** Returns the most reads in any second. */
    private static long most(List<Instant> times, Instant from, Instant to) {
        List<Instant> window = new ArrayList<>();
        long most = 0;
        for (Instant at : times) {
            if (at.isBefore(from) || at.isAfter(to)) {
                continue;
            }
            window.add(at);
            window.removeIf(earlier -> !earlier.plusSeconds(1).isAfter(at));
            most = Math.max(most, window.size());
        }
        return most;
    }
}
