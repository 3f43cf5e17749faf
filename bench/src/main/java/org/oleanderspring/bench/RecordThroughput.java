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
 * Measures how many claims a second one owner of dispatch records sustains within a write budget,
 * against one key for each call, in virtual time. The only figure of real time is the processor
 * time of the decisions.
 */
@Command(
        name = "record-throughput",
        mixinStandardHelpOptions = true,
        description = "Compares group commit of dispatch records with one key for each call.")
public final class RecordThroughput implements Callable<Integer> {
    /** The time between two timer events of the owner. */
    static final Duration TICK = Duration.ofMillis(5);

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_KILOBYTE = 1e3;

    @Option(
            names = "--writes-per-second",
            defaultValue = "100",
            description = "write budget of the owner (default: ${DEFAULT-VALUE})")
    private int mWritesPerSecond;

    @Option(
            names = "--latency-millis",
            defaultValue = "3",
            description = "time until the service replies (default: ${DEFAULT-VALUE})")
    private int mLatencyMillis;

    @Option(
            names = "--claim-millis",
            defaultValue = "1000",
            description = "time within which a claim is settled (default: ${DEFAULT-VALUE})")
    private int mClaimMillis;

    @Option(
            names = "--seconds",
            defaultValue = "30",
            description = "virtual time of each row (default: ${DEFAULT-VALUE})")
    private int mSeconds;

    @Option(
            names = "--seal-bytes",
            defaultValue = "65536",
            description = "size above which records are sealed (default: ${DEFAULT-VALUE})")
    private int mSealBytes;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "seed of the arrivals (default: ${DEFAULT-VALUE})")
    private long mSeed;

    @Option(
            names = "--rates",
            split = ",",
            defaultValue = "50,100,200,1000,5000,10000,20000,40000,60000,80000",
            description = "offered claims a second (default: ${DEFAULT-VALUE})")
    private List<Integer> mRates = List.of();

    /** Creates the tool; its options are set by picocli. */
    public RecordThroughput() {}

    /**
     * Runs the tool.
     *
     * @param arguments the command line
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

    private String row(String name, int rate, boolean groupCommit) {
        VirtualStore store = new VirtualStore(Duration.ofMillis(mLatencyMillis));
        ClaimStatistics statistics = new ClaimStatistics();
        Duration claimTime = Duration.ofMillis(mClaimMillis);
        RecordScheme scheme =
                groupCommit
                        ? new GroupCommitScheme(
                                store, statistics, claimTime, mWritesPerSecond, mSealBytes)
                        : new KeyPerCallScheme(store, statistics, claimTime, mWritesPerSecond);
        long startedAt = System.nanoTime();
        Totals totals = run(scheme, store, statistics, rate);
        double micros = (System.nanoTime() - startedAt) / NANOS_PER_MICRO;
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
     * What happened while claims were offered.
     *
     * @param offered how many claims were offered
     * @param claimed how many were confirmed
     * @param writes how many writes the service made
     * @param bytesWritten the size of their values
     */
    private record Totals(long offered, long claimed, long writes, long bytesWritten) {}

    /** Offers claims at random times, and then waits until all of them are settled. */
    private Totals run(
            RecordScheme scheme, VirtualStore store, ClaimStatistics statistics, int rate) {
        SplittableRandom random = new SplittableRandom(mSeed);
        Instant end = store.now().plusSeconds(mSeconds);
        Instant nextArrival = store.now();
        Instant nextTick = store.now();
        long offered = 0;
        while (nextTick.isBefore(end)) {
            if (nextArrival.isBefore(nextTick)) {
                store.runUntil(nextArrival);
                statistics.arrived(offered, store.now());
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
        Instant settled = end.plusMillis(2L * mClaimMillis);
        for (; nextTick.isBefore(settled); nextTick = nextTick.plus(TICK)) {
            store.runUntil(nextTick);
            scheme.tick();
        }
        return totals;
    }
}
