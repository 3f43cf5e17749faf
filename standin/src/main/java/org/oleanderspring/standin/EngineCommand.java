package org.oleanderspring.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.oleanderspring.standin.engine.EngineOptions;
import org.oleanderspring.standin.engine.EngineStandin;
import org.oleanderspring.standin.engine.SimulatedLoadTimes;
import org.oleanderspring.standin.engine.command.WeightStoreClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Subcommand {@code engine}: runs a simulated model engine. */
@Command(name = "engine", mixinStandardHelpOptions = true)
final class EngineCommand implements Callable<Integer> {
    /** The exit status of a process that was killed by SIGKILL: 128 + 9. */
    private static final int CRASH_STATUS = 137;

    @Option(names = "--ip", defaultValue = "127.0.0.1", description = "IP address to listen on")
    private String mIp = "127.0.0.1";

    @Option(names = "--port", defaultValue = "0", description = "port to listen on, 0 for any")
    private int mPort;

    @Option(names = "--runner", required = true, description = "runner name in reports")
    private String mRunner = "";

    @Option(
            names = "--weights",
            required = true,
            description = "address of the weight store, <ip>:<port>")
    private String mWeightStoreAddress = "";

    @Option(
            names = "--memory-mb",
            defaultValue = "40000",
            description = "memory for loaded checkpoints, in MB")
    private long mMemoryMegabytes;

    @Option(
            names = "--concurrency",
            defaultValue = "8",
            description = "calls that run concurrently")
    private int mConcurrency;

    @Option(
            names = "--queue",
            defaultValue = "0",
            description = "calls that may wait in the engine")
    private int mQueueLimit;

    @Option(
            names = "--tokens",
            defaultValue = "16",
            description = "maximum and default number of tokens per response")
    private int mTokens;

    @Option(
            names = "--token-delay-ms",
            defaultValue = "20",
            description = "time between two tokens")
    private long mTokenDelayMillis;

    @Option(
            names = "--prefill-ms",
            defaultValue = "50",
            description = "delay if the prompt prefix is not cached")
    private long mPrefillMillis;

    @Option(names = "--load-memory-ms", defaultValue = "200", description = "load time from memory")
    private long mLoadMemoryMillis;

    @Option(names = "--load-disk-ms", defaultValue = "1000", description = "load time from disk")
    private long mLoadDiskMillis;

    @Option(
            names = "--load-remote-ms",
            defaultValue = "3000",
            description = "load time from the weight store")
    private long mLoadRemoteMillis;

    @Option(
            names = "--load-adapter-ms",
            defaultValue = "5",
            description = "load time of an adapter")
    private long mLoadAdapterMillis;

    @Option(names = "--unload-ms", defaultValue = "50", description = "time of an unload")
    private long mUnloadMillis;

    @Option(
            names = "--report-lag-ms",
            defaultValue = "200",
            description = "time until a change is visible in reports and cache events")
    private long mReportLagMillis;

    @Option(names = "--check-token", description = "reject orders with an outdated fencing token")
    private boolean mCheckToken;

    @Override
    public Integer call() {
        try (WeightStoreClient weights = new WeightStoreClient(mWeightStoreAddress)) {
            JsonNode catalogue = weights.catalogue();
            Runnable crash = () -> Runtime.getRuntime().halt(CRASH_STATUS);
            try (EngineStandin engine =
                    new EngineStandin(mIp, mPort, options(), catalogue, weights, crash)) {
                engine.start();
                StandinTool.printReady("engine", mIp, engine.port());
                StandinTool.awaitTermination();
            }
        }
        return 0;
    }

    private EngineOptions options() {
        SimulatedLoadTimes times =
                new SimulatedLoadTimes(
                        Duration.ofMillis(mLoadMemoryMillis),
                        Duration.ofMillis(mLoadDiskMillis),
                        Duration.ofMillis(mLoadRemoteMillis),
                        Duration.ofMillis(mLoadAdapterMillis),
                        Duration.ofMillis(mUnloadMillis));
        return new EngineOptions(
                mRunner,
                mMemoryMegabytes,
                mConcurrency,
                mQueueLimit,
                mTokens,
                Duration.ofMillis(mTokenDelayMillis),
                Duration.ofMillis(mPrefillMillis),
                times,
                Duration.ofMillis(mReportLagMillis),
                mCheckToken);
    }
}
