package org.oleanderspring.core.share.command;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.oleanderspring.core.share.ShareBounds;
import org.oleanderspring.core.share.SharedRate;

/**
 * Guards against two failures of a rate that daemons share: more is used in a window than its
 * bounds allow, or calls within it are refused because the units are at other daemons.
 */
class SharedRateTest {
    private static final ShareBounds BOUNDS = new ShareBounds(Duration.ofSeconds(8), 0.1, 17_000);
    private static final Duration WARM_UP = Duration.ofSeconds(10);
    private static final Duration SPAN = Duration.ofSeconds(16);
    private static final double COST = 1_000;
    private static final double USED_SHARE = 0.95;

    /** Runs the daemons without division with {@code -DsharedRate.off=true}; both bounds fail. */
    private static final boolean SHARED = !Boolean.getBoolean("sharedRate.off");

    /** All calls of an organisation at one daemon, at three, or at all of them. */
    @ParameterizedTest
    @CsvSource({
        "1,1,4200",
        "28,1,4200",
        "28,3,4200",
        "28,28,4200",
        "60,60,4200",
        "28,1,90000",
        "28,3,90000",
        "28,28,90000",
        "60,60,90000",
        "28,28,20000"
    })
    void calmDaemonsUseTheRateAndKeepIt(int daemons, int targets, double perSecond) {
        for (double load : new double[] {1.2, 7}) {
            SharedRate rate = new SharedRate(perSecond, perSecond);
            ShareSimulation fleet = new ShareSimulation(daemons, BOUNDS, rate, SHARED);
            List<Integer> used = fleet.start(daemons).subList(0, targets);
            fleet.run(WARM_UP, load * perSecond, COST, used);
            long from = fleet.millis();
            long messages = fleet.messages();
            fleet.run(SPAN, load * perSecond, COST, used);
            double share = fleet.admittedAfter(from) / (perSecond * SPAN.toSeconds());
            double worst = fleet.worstWindow(0) / BOUNDS.limit(rate);
            print(
                    "daemons=%d targets=%d rate=%.0f load=%.1f used=%.3f worst-window=%.3f"
                            + " messages-per-second=%.0f",
                    daemons,
                    targets,
                    perSecond,
                    load,
                    share,
                    worst,
                    (fleet.messages() - messages) / (double) SPAN.toSeconds());
            assertTrue(share >= USED_SHARE, "used " + share);
            assertTrue(worst <= 1, "worst window " + worst);
        }
    }

    /** All calls of an organisation move from one daemon to another, as after a change of DNS. */
    @Test
    void rateIsUsableWithinASecondAfterCallsMove() {
        SharedRate rate = new SharedRate(20_000, 0);
        ShareSimulation fleet = new ShareSimulation(5, BOUNDS, rate, SHARED);
        List<Integer> daemons = fleet.start(28);
        fleet.run(WARM_UP, 24_000, COST, daemons.subList(0, 3));
        fleet.run(Duration.ofSeconds(1), 24_000, COST, daemons.subList(10, 11));
        long from = fleet.millis();
        fleet.run(SPAN, 24_000, COST, daemons.subList(10, 11));
        double share = fleet.admittedAfter(from) / (20_000 * SPAN.toSeconds());
        print("moved used=%.3f", share);
        assertTrue(share >= USED_SHARE, "used " + share);
    }

    /** A lower limit binds one window after all daemons know it. */
    @Test
    void lowerRateBindsOneWindowLater() {
        ShareSimulation fleet =
                new ShareSimulation(6, BOUNDS, new SharedRate(60_000, 60_000), SHARED);
        List<Integer> daemons = fleet.start(28);
        fleet.run(WARM_UP, 100_000, COST, daemons);
        SharedRate lower = new SharedRate(6_000, 0);
        fleet.changeRate(lower);
        fleet.run(Duration.ofSeconds(3), 100_000, COST, daemons);
        long known = fleet.millis();
        fleet.run(SPAN, 100_000, COST, daemons);
        double worst = fleet.worstWindow(known) / BOUNDS.limit(lower);
        print("lower rate worst-window=%.3f", worst);
        assertTrue(worst <= 1, "worst window " + worst);
    }

    /** Cuts, suspensions, losses, starts and ends in random order and far too many calls. */
    @ParameterizedTest
    @ValueSource(doubles = {4_200, 20_000, 90_000})
    void troubleNeverExceedsTheBounds(double perSecond) {
        double worst = 0;
        for (long seed = 1; seed <= 40; seed++) {
            worst = Math.max(worst, worstWindowInTrouble(seed, perSecond));
        }
        print("trouble rate=%.0f worst-window=%.3f", perSecond, worst);
    }

    private static double worstWindowInTrouble(long seed, double perSecond) {
        SplittableRandom random = new SplittableRandom(seed);
        SharedRate rate = new SharedRate(perSecond, perSecond * random.nextInt(3));
        ShareSimulation fleet = new ShareSimulation(seed, BOUNDS, rate, SHARED);
        fleet.start(1 + random.nextInt(random.nextBoolean() ? 4 : 60));
        for (int disruption = 0; disruption < 25; disruption++) {
            List<Integer> nodes = fleet.nodes();
            int node = nodes.get(random.nextInt(nodes.size()));
            long time = 200 + random.nextInt(9_000);
            switch (random.nextInt(7)) {
                case 0 -> fleet.freeze(node, time);
                case 1 -> fleet.cutPeers(node, time);
                case 2 -> fleet.cutStore(node, time);
                case 3 -> fleet.loseMessages(random.nextInt(3) * 0.15);
                case 4 -> fleet.start(1);
                case 5 ->
                        nodes.forEach(
                                each -> {
                                    if (random.nextInt(3) == 0) {
                                        fleet.cutStore(each, time);
                                    }
                                });
                default -> {
                    if (nodes.size() > 1) {
                        fleet.end(node, random.nextBoolean());
                    }
                }
            }
            fleet.run(
                    Duration.ofMillis(100 + random.nextInt(2_500)),
                    perSecond * (1 + random.nextInt(7)),
                    COST,
                    fleet.nodes());
        }
        double worst = fleet.worstWindow(0) / BOUNDS.limit(rate);
        assertTrue(worst <= 1, "seed " + seed + ": worst window " + worst);
        return worst;
    }

    private static void print(String format, Object... values) {
        System.out.println("[shared-rate] " + String.format(Locale.ROOT, format, values));
    }
}
