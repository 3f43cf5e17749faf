package org.oleanderspring.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.oleanderspring.standin.engine.EngineOptions;
import org.oleanderspring.standin.engine.EngineStandin;
import org.oleanderspring.standin.engine.LoadTimes;
import org.oleanderspring.standin.engine.command.WeightStoreClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a model engine. */
@Command(name = "engine", mixinStandardHelpOptions = true)
final class EngineCommand implements Callable<Integer> {
    private static final int CRASH_STATUS = 137;

    @Option(names = "--ip", defaultValue = "127.0.0.1", description = "IP number to listen on")
    private String mIp = "127.0.0.1";

    @Option(names = "--port", defaultValue = "0", description = "port to listen on, 0 for any")
    private int mPort;

    @Option(names = "--runner", required = true, description = "identity in reports")
    private String mRunner = "";

    @Option(names = "--weights", required = true, description = "weight store, <ip>:<port>")
    private String mWeights = "";

    @Option(names = "--memory-mb", defaultValue = "40000", description = "memory for models")
    private long mMemoryMegabytes;

    @Option(names = "--concurrency", defaultValue = "8", description = "calls at a time")
    private int mConcurrency;

    @Option(names = "--queue", defaultValue = "0", description = "calls that may wait inside")
    private int mQueue;

    @Option(names = "--tokens", defaultValue = "16", description = "tokens of an answer")
    private int mTokens;

    @Option(names = "--token-delay-ms", defaultValue = "20", description = "between tokens")
    private long mTokenDelayMillis;

    @Option(names = "--prefill-ms", defaultValue = "50", description = "if prefix is not cached")
    private long mPrefillMillis;

    @Option(names = "--load-memory-ms", defaultValue = "200", description = "load from memory")
    private long mLoadMemoryMillis;

    @Option(names = "--load-disk-ms", defaultValue = "1000", description = "load from disk")
    private long mLoadDiskMillis;

    @Option(names = "--load-remote-ms", defaultValue = "3000", description = "load from the store")
    private long mLoadRemoteMillis;

    @Option(names = "--load-adapter-ms", defaultValue = "5", description = "load of an adapter")
    private long mLoadAdapterMillis;

    @Option(names = "--unload-ms", defaultValue = "50", description = "unload")
    private long mUnloadMillis;

    @Option(names = "--report-lag-ms", defaultValue = "200", description = "lag of reports")
    private long mReportLagMillis;

    @Option(names = "--check-token", description = "refuse orders with an old fencing token")
    private boolean mCheckToken;

    @Override
    public Integer call() {
        try (WeightStoreClient weights = new WeightStoreClient(mWeights)) {
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
        LoadTimes times =
                new LoadTimes(
                        Duration.ofMillis(mLoadMemoryMillis),
                        Duration.ofMillis(mLoadDiskMillis),
                        Duration.ofMillis(mLoadRemoteMillis),
                        Duration.ofMillis(mLoadAdapterMillis),
                        Duration.ofMillis(mUnloadMillis));
        return new EngineOptions(
                mRunner,
                mMemoryMegabytes,
                mConcurrency,
                mQueue,
                mTokens,
                Duration.ofMillis(mTokenDelayMillis),
                Duration.ofMillis(mPrefillMillis),
                times,
                Duration.ofMillis(mReportLagMillis),
                mCheckToken);
    }
}
