package org.oleanderspring.coordination.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.oleanderspring.coordination.fake.VirtualTime;
import org.oleanderspring.coordination.store.StoreKey;

/**
 * Guards against a daemon that acts on outdated values long after a disturbance of the key-value
 * service: a poll that began just before the end of the disturbance must not be waited for.
 *
 * <p>Sweeps the length of each kind of trouble and the phase of its end against the daemon's polls,
 * with a change before the end, at the end and after it. The bounds are those of the platform: a
 * change is in force {@code APPLY} after its confirmation, but not before the daemon has had the
 * settle limit since the end of the disturbance.
 */
class RegainedStoreTest {
    private static final Duration SETTLE = Duration.ofSeconds(3);
    private static final Duration APPLY = Duration.ofSeconds(2);
    private static final Duration STEP = Duration.ofMillis(50);
    private static final int PHASES = 64;

    /** The time that a request takes to reach the daemon and its runner. */
    private static final Duration REQUEST_SLACK = Duration.ofMillis(100);

    private static final List<Duration> LENGTHS =
            List.of(
                    Duration.ofMillis(300),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(2_300),
                    Duration.ofSeconds(4),
                    Duration.ofSeconds(8));

    /** When the change is confirmed, from the end of the disturbance. */
    private static final List<Duration> CHANGES =
            List.of(
                    Duration.ofMillis(-250),
                    Duration.ZERO,
                    Duration.ofMillis(800),
                    Duration.ofMillis(1_500));

    private static final StoreKey CHANGE = new StoreKey("/op/config");
    private static final StoreKey LEAVING = new StoreKey("/servers/leaving");
    private static final StoreKey HEARTBEAT = new StoreKey("/servers/heartbeat");

    /** The delay of a change beyond its bound; negative if it is in force before. */
    private record Excess(Duration excess, String where) {
        Excess worse(Excess other) {
            return other.excess.compareTo(excess) > 0 ? other : this;
        }
    }

    @ParameterizedTest
    @EnumSource(StoreTrouble.class)
    void changesAreSeenWithinTheBound(StoreTrouble trouble) {
        for (boolean renews : new boolean[] {true, false}) {
            Excess worst = new Excess(Duration.ofDays(-1), "");
            for (Duration length : LENGTHS) {
                for (Duration change : CHANGES) {
                    for (int phase = 0; phase < PHASES; phase++) {
                        worst = worst.worse(play(trouble, length, change, phase, renews));
                    }
                }
            }
            String name = trouble + (renews ? "" : " without a lease");
            System.out.println(
                    name
                            + ": the latest change is seen "
                            + worst.excess().toMillis()
                            + " ms from its bound, "
                            + worst.where());
            assertThat(
                    name + " " + worst.where(),
                    worst.excess(),
                    lessThanOrEqualTo(REQUEST_SLACK.negated()));
        }
    }

    private static Excess play(
            StoreTrouble trouble, Duration length, Duration change, int phase, boolean renews) {
        VirtualTime time = new VirtualTime();
        SimulatedStore store = new SimulatedStore(time);
        time.every(Duration.ofMillis(400), () -> store.write(HEARTBEAT));
        SimulatedWatcher watcher =
                new SimulatedWatcher(time, store, new WatchOptions(SETTLE, millis(800), 2_000), 7);
        watcher.start(millis(1_000), 5);
        if (renews) {
            watcher.startRenewals();
        }
        time.advance(Duration.ofSeconds(10).plus(STEP.multipliedBy(phase)));
        begin(trouble, store, watcher);
        Duration lead = change.isNegative() ? change : Duration.ZERO;
        time.advance(length.plus(lead));
        if (change.isNegative()) {
            store.write(CHANGE);
            store.write(LEAVING);
            time.advance(change.negated());
        }
        store.end();
        watcher.suspended(false);
        Instant end = time.now();
        if (!change.isNegative()) {
            time.advance(change);
            store.write(CHANGE);
            store.write(LEAVING);
        }
        time.advance(Duration.ofSeconds(12));
        Instant bound = later(end.plus(SETTLE), end.plus(change).plus(APPLY));
        Instant seen = later(watcher.seenAt(CHANGE), watcher.seenAt(LEAVING));
        return new Excess(
                Duration.between(bound, seen.equals(Instant.MAX) ? time.now() : seen),
                "length " + length + ", change " + change + ", phase " + phase);
    }

    private static void begin(
            StoreTrouble trouble, SimulatedStore store, SimulatedWatcher watcher) {
        if (trouble == StoreTrouble.SUSPENDED) {
            watcher.suspended(true);
        } else {
            store.begin(trouble);
        }
    }

    private static Duration millis(long millis) {
        return Duration.ofMillis(millis);
    }

    private static Instant later(Instant first, Instant second) {
        return first.isAfter(second) ? first : second;
    }
}
