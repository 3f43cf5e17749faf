package org.oleanderspring.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.keyvalue.KeyValueOptions;
import org.oleanderspring.standin.keyvalue.KeyValueStandin;
import org.oleanderspring.standin.vmlist.VmListStandin;
import org.oleanderspring.standin.weightstore.WeightStoreOptions;
import org.oleanderspring.standin.weightstore.WeightStoreStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Subcommand {@code platform}: runs the key-value service, VM list and weight store in one process.
 */
@Command(name = "platform", mixinStandardHelpOptions = true)
final class PlatformCommand implements Callable<Integer> {
    @Option(names = "--ip", defaultValue = "127.0.0.1", description = "IP address to listen on")
    private String mIp = "127.0.0.1";

    @Option(
            names = "--keyvalue-port",
            defaultValue = "0",
            description = "port of the key-value service, 0 for any")
    private int mKeyValuePort;

    @Option(
            names = "--vmlist-port",
            defaultValue = "0",
            description = "port of the VM list, 0 for any")
    private int mVmListPort;

    @Option(
            names = "--weights-port",
            defaultValue = "0",
            description = "port of the weight store, 0 for any")
    private int mWeightsPort;

    @Option(
            names = "--reads-per-second",
            defaultValue = "2000",
            description = "allowed key-value reads per second")
    private int mReadsPerSecond;

    @Option(
            names = "--writes-per-second",
            defaultValue = "400",
            description = "allowed key-value writes per second")
    private int mWritesPerSecond;

    @Option(names = "--vms", description = "file with the initial VM list")
    private @Nullable Path mVmListFile;

    @Option(
            names = "--vmlist-lag-ms",
            defaultValue = "0",
            description = "time until a change of the VM list is visible")
    private long mVmListLagMillis;

    @Option(names = "--catalogue", description = "file with the checkpoint catalogue")
    private @Nullable Path mCatalogueFile;

    @Option(
            names = "--loads-per-second",
            defaultValue = "7",
            description = "model downloads that may start per second")
    private int mLoadsPerSecond;

    @Option(
            names = "--full-speed-loads",
            defaultValue = "4",
            description = "concurrent model downloads at full speed")
    private int mFullSpeedLoads;

    @Option(
            names = "--full-speed-adapters",
            defaultValue = "30",
            description = "concurrent adapter downloads at full speed")
    private int mFullSpeedAdapters;

    @Override
    public Integer call() throws IOException {
        JsonNode vms = read(mVmListFile, "{\"vms\":[],\"entries\":[]}");
        JsonNode catalogue = read(mCatalogueFile, "{\"checkpoints\":[]}");
        KeyValueOptions rateLimits = new KeyValueOptions(mReadsPerSecond, mWritesPerSecond);
        WeightStoreOptions downloadLimits =
                new WeightStoreOptions(mLoadsPerSecond, mFullSpeedLoads, mFullSpeedAdapters);
        try (KeyValueStandin keyValue = new KeyValueStandin(mIp, mKeyValuePort, rateLimits);
                VmListStandin vmList =
                        new VmListStandin(
                                mIp, mVmListPort, Duration.ofMillis(mVmListLagMillis), vms);
                WeightStoreStandin weights =
                        new WeightStoreStandin(mIp, mWeightsPort, downloadLimits, catalogue)) {
            keyValue.start();
            vmList.start();
            weights.start();
            StandinTool.printReady("keyvalue", mIp, keyValue.port());
            StandinTool.printReady("vmlist", mIp, vmList.port());
            StandinTool.printReady("weights", mIp, weights.port());
            StandinTool.awaitTermination();
        }
        return 0;
    }

    private static JsonNode read(@Nullable Path file, String defaultDocument) throws IOException {
        byte[] bytes =
                file == null
                        ? defaultDocument.getBytes(StandardCharsets.UTF_8)
                        : Files.readAllBytes(file);
        return Json.parse(bytes);
    }
}
