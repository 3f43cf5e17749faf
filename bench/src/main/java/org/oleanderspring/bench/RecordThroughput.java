package org.oleanderspring.bench;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures how many claims per second one owner of dispatch records sustains within a write budget,
 * and compares group commit with one key for each call. All times are virtual except for the column
 * "us/claim", which is the real time that the run takes per claim.
 *
 * <p>The columns "claimed/s", "writes/s" and "kB/s" cover the time in which claims are offered; the
 * refusals, the latencies and the keys include the claims that are settled afterwards.
 */
@Command(
        name = "record-throughput",
        mixinStandardHelpOptions = true,
        description = "Compares group commit of dispatch records with one key for each call.")
public final class RecordThroughput implements Callable<Integer> {
    /** The interval between two timer events of the owner, in virtual time. */
    static final Duration TICK = Duration.ofMillis(5);

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_KILOBYTE = 1e3;

    @Option(
            names = "--writes-per-second",
            defaultValue = "100",
            description = "writes per second that the owner may make (default: ${DEFAULT-VALUE})")
    private int mWritesPerSecond;

    @Option(
            names = "--latency-millis",
            defaultValue = "3",
            description =
                    "round-trip time of the key-value service in ms (default: ${DEFAULT-VALUE})")
    private int mLatencyMillis;

    @Option(
            names = "--claim-millis",
            defaultValue = "1000",
            description =
                    "time in ms after which a waiting claim is refused (default: ${DEFAULT-VALUE})")
    private int mClaimMillis;

    @Option(
            names = "--seconds",
            defaultValue = "30",
            description =
                    "virtual seconds for which claims are offered (default: ${DEFAULT-VALUE})")
    private int mSeconds;

    @Option(
            names = "--seal-bytes",
            defaultValue = "65536",
            description =
                    "size in bytes above which records are sealed (default: ${DEFAULT-VALUE})")
    private int mSealBytes;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "random seed of the arrival times (default: ${DEFAULT-VALUE})")
    private long mSeed;

    @Option(
            names = "--rates",
            split = ",",
            defaultValue = "50,100,200,1000,5000,10000,20000,40000,60000,80000",
            description =
                    "offered claims per second, one table row each (default: ${DEFAULT-VALUE})")
    private List<Integer> mRates = List.of();

    /** Called by {@link #main}; picocli sets the options afterwards. */
    public RecordThroughput() {}

    /**
     * Runs the measurement and exits with code 0, or with 1 if it throws and 2 if the arguments are
     * invalid.
     *
     * @param arguments the command line arguments
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new RecordThroughput()).execute(arguments));
    }

    @Override
    public Integer call() {
        PrintStream out = System.out;
        out.printf(
                Locale.ROOT,
                "%d writes/s, %d ms latency, claims settled within %d ms, %d s, %d bytes sealed,"
                        + " seed %d%n",
                mWritesPerSecond,
                mLatencyMillis,
                mClaimMillis,
                mSeconds,
                mSealBytes,
                mSeed);
        out.println(
                "scheme        offered/s  claimed/s  refused %    p50 ms    p99 ms  writes/s"
                        + "   kB/s  keys  us/claim");
        for (int rate : mRates) {
            out.println(row("group commit", rate, true));
            out.println(row("key per call", rate, false));
        }
        return 0;
    }

    private String row(String name, int rate, boolean usesGroupCommit) {
        SimulatedKeyValueStore store =
                new SimulatedKeyValueStore(Duration.ofMillis(mLatencyMillis));
        ClaimStatistics statistics = new ClaimStatistics();
        Duration claimTimeout = Duration.ofMillis(mClaimMillis);
        DispatchRecordScheme scheme =
                usesGroupCommit
                        ? new GroupCommitScheme(
                                store, statistics, claimTimeout, mWritesPerSecond, mSealBytes)
                        : new KeyPerCallScheme(store, statistics, claimTimeout, mWritesPerSecond);
        long startNanos = System.nanoTime();
        Totals totals = run(scheme, store, statistics, rate);
        double micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
        return String.format(
                Locale.ROOT,
                "%-12s  %9d  %9.0f  %9.2f  %8.1f  %8.1f  %8.1f  %5.0f  %4d  %8.1f",
                name,
                rate,
                (double) totals.claimed() / mSeconds,
                100.0 * statistics.refused() / totals.offered(),
                statistics.millisAt(50),
                statistics.millisAt(99),
                (double) totals.writes() / mSeconds,
                totals.bytesWritten() / BYTES_PER_KILOBYTE / mSeconds,
                store.keys(),
                micros / totals.offered());
    }

    /**
     * Counts at the end of the time in which claims are offered.
     *
     * @param offered the claims offered
     * @param claimed the claims confirmed
     * @param writes the successful writes at the key-value service
     * @param bytesWritten the total size of the written values
     */
    private record Totals(long offered, long claimed, long writes, long bytesWritten) {}

    /**
     * Offers claims with exponentially distributed gaps, and then runs on for twice the claim time,
     * so that the statistics include the result of every claim.
     */
    private Totals run(
            DispatchRecordScheme scheme,
            SimulatedKeyValueStore store,
            ClaimStatistics statistics,
            int rate) {
        SplittableRandom random = new SplittableRandom(mSeed);
        Instant end = store.now().plusSeconds(mSeconds);
        Instant nextArrival = store.now();
        Instant nextTick = store.now();
        long offered = 0;
        while (nextTick.isBefore(end)) {
            if (nextArrival.isBefore(nextTick)) {
                store.runUntil(nextArrival);
                statistics.recordArrival(offered, store.now());
                scheme.claim(offered);
                offered++;
                double gapSeconds = -Math.log(1 - random.nextDouble()) / rate;
                nextArrival = nextArrival.plusNanos((long) (gapSeconds * NANOS_PER_SECOND));
            } else {
                store.runUntil(nextTick);
                scheme.tick();
                nextTick = nextTick.plus(TICK);
            }
        }
        Totals totals =
                new Totals(offered, statistics.claimed(), store.writes(), store.bytesWritten());
        Instant settledBy = end.plusMillis(2L * mClaimMillis);
        for (; nextTick.isBefore(settledBy); nextTick = nextTick.plus(TICK)) {
            store.runUntil(nextTick);
            scheme.tick();
        }
        return totals;
    }
}
