package org.oleanderspring.daemon.cli.command;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.directory.DaemonCapacity;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.daemon.gateway.GatewayMember;
import org.oleanderspring.daemon.gateway.GatewaySettings;
import org.oleanderspring.daemon.gateway.process.command.Gateway;
import org.oleanderspring.daemon.gateway.process.command.SettingsReloadDuty;
import org.oleanderspring.daemon.process.EnvironmentDefaults;
import org.oleanderspring.daemon.process.ExitCode;
import org.oleanderspring.daemon.process.NodeFile;
import org.oleanderspring.daemon.process.command.RingLogHandler;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import sun.misc.Signal;

/**
 * Runs the daemon on a hosted platform until the process receives a signal to end. If there is a
 * node file, the settings are reloaded when its content changes, and on SIGHUP.
 */
@Command(
        name = "gateway",
        mixinStandardHelpOptions = true,
        description =
                "Runs the daemon on a hosted platform. Each flag falls back to an environment"
                        + " variable, for example --front to OLEANDERSPRING_FRONT, and to the same"
                        + " name in the file that OLEANDERSPRING_NODE_FILE names.")
public final class GatewayCommand implements Callable<Integer> {
    private static final int HIGHEST_PORT = 65_535;
    private static final int PERCENT = 100;
    private static final int MILLIS_PER_SECOND = 1_000;

    @Spec private CommandSpec mSpec;

    @Option(
            names = "--node",
            paramLabel = "NAME",
            required = true,
            description = "Name of this VM.")
    private String mNode;

    @Option(
            names = "--failure-domain",
            paramLabel = "NAME",
            required = true,
            description = "Failure domain of this VM.")
    private String mFailureDomain;

    @Option(
            names = "--front",
            paramLabel = "IP:PORT",
            required = true,
            description = "Address on which requests are accepted.")
    private String mFront;

    @Option(
            names = "--readiness",
            paramLabel = "IP:PORT",
            required = true,
            description = "Address on which the platform checks readiness.")
    private String mReadiness;

    @Option(
            names = "--directory",
            paramLabel = "IP:PORT",
            required = true,
            description = "Address of the directory that tells clients which daemons to use.")
    private String mDirectory;

    @Option(
            names = "--metrics-port",
            paramLabel = "PORT",
            required = true,
            description = "Port for metrics.")
    private int mMetricsPort;

    @Option(
            names = "--peer-port",
            paramLabel = "PORT",
            required = true,
            description = "Port for other daemons, TCP and UDP; the same on all VMs.")
    private int mPeerPort;

    @Option(
            names = "--store",
            paramLabel = "IP:PORT",
            required = true,
            description = "Metadata store of the platform.")
    private String mStore;

    @Option(
            names = "--store-reads-per-second",
            paramLabel = "COUNT",
            defaultValue = "2000",
            description = "Reads that the metadata store takes from all daemons in a second.")
    private double mStoreReadsPerSecond;

    @Option(
            names = "--settle-millis",
            paramLabel = "MILLISECONDS",
            defaultValue = "3000",
            description =
                    "Time from the end of a disturbance of the store or of connections until the"
                            + " daemon acts on current values again.")
    private double mSettleMillis;

    @Option(
            names = "--drain-millis",
            paramLabel = "MILLISECONDS",
            defaultValue = "2000",
            description = "Time after which a runner that leaves gets no request.")
    private double mDrainMillis;

    @Option(
            names = "--directory-ttl-seconds",
            paramLabel = "SECONDS",
            defaultValue = "2",
            description = "How long clients may cache a response of the directory.")
    private int mDirectoryTtlSeconds;

    @Option(
            names = "--retry-ratio",
            paramLabel = "RATIO",
            defaultValue = "0.2",
            description = "Maximum ratio of retries to requests, over all daemons.")
    private double mRetryRatio;

    @Option(
            names = "--retry-extra",
            paramLabel = "COUNT",
            defaultValue = "0",
            description = "Additional retries allowed in each window, over all daemons.")
    private double mRetryExtra;

    @Option(
            names = "--retry-window-seconds",
            paramLabel = "SECONDS",
            defaultValue = "10",
            description = "Length of the window in which retries are counted.")
    private double mRetryWindowSeconds;

    @Option(
            names = "--stop-limit-seconds",
            paramLabel = "SECONDS",
            defaultValue = "8",
            description = "How long a planned stop may take.")
    private double mStopLimitSeconds;

    @Option(
            names = "--holder-pause-millis",
            paramLabel = "MILLISECONDS",
            defaultValue = "3000",
            description = "How long a daemon that becomes the holder waits before it sends orders.")
    private double mHolderPauseMillis;

    @Option(
            names = "--wake-slack-millis",
            paramLabel = "MILLISECONDS",
            defaultValue = "300",
            description =
                    "How long orders of a suspended daemon may still arrive after it resumes.")
    private double mWakeSlackMillis;

    @Option(
            names = "--store-loads-at-once",
            paramLabel = "COUNT",
            defaultValue = "4",
            description = "Concurrent loads that the weight store serves at full speed.")
    private int mStoreLoadsAtOnce;

    @Option(
            names = "--revoke-millis",
            paramLabel = "MILLISECONDS",
            description =
                    "Time after which no request with an API key that was taken away is accepted,"
                            + " also without contact to the metadata store. Not limited unless"
                            + " given.")
    private @Nullable Double mRevokeMillis;

    @Option(
            names = "--cores",
            paramLabel = "COUNT",
            defaultValue = "0",
            description = "Speed of this VM's processor in cores; 0 if unknown.")
    private double mCores;

    @Option(
            names = "--cpu-share",
            paramLabel = "RATIO",
            defaultValue = "1",
            description = "Share of the processor that the daemon may use.")
    private double mCpuShare;

    @Option(
            names = "--link-mbps",
            paramLabel = "MBPS",
            defaultValue = "0",
            description = "Bandwidth of this VM's link in megabits a second; 0 if unknown.")
    private double mLinkMbps;

    @Option(
            names = "--domain-price",
            paramLabel = "CALLS",
            defaultValue = "0",
            description =
                    "Work that a request to a runner in another failure domain has to save, in"
                            + " requests at a runner; 0 for no difference between domains.")
    private double mDomainPrice;

    @Mixin private final QuotaOptions mQuotaOptions = new QuotaOptions();

    /** Created by picocli, which sets the flags. */
    @SuppressWarnings("NullAway.Init")
    public GatewayCommand() {}

    @Override
    public Integer call() throws Exception {
        RingLogHandler log = RingLogHandler.install();
        GatewaySettings settings = validate();
        Gateway gateway = new Gateway(settings);
        reloadSettingsOnChange(gateway, settings);
        String failure = gateway.start();
        if (failure != null) {
            mSpec.commandLine().getErr().println(failure);
            return ExitCode.USAGE;
        }
        StopSignals.handle(
                () -> {
                    gateway.stop();
                    log.close();
                });
        new CountDownLatch(1).await();
        return ExitCode.SUCCESS;
    }

    private void reloadSettingsOnChange(Gateway gateway, GatewaySettings settings) {
        Optional<Path> file = NodeFile.location();
        if (file.isEmpty()) {
            // Without a handler SIGHUP would end the process.
            Signal.handle(new Signal("HUP"), signal -> {});
            return;
        }
        SettingsReloadDuty reload =
                new SettingsReloadDuty(file.get(), settings, this::parseAgain, gateway);
        Signal.handle(new Signal("HUP"), signal -> reload.request());
        reload.start(gateway.timer());
    }

    /**
     * Parses the flags, the environment and the node file again, as at the start of the process.
     * Called on the thread of the reload duty.
     */
    private SettingsReloadDuty.ReadResult parseAgain() {
        GatewayCommand again = new GatewayCommand();
        CommandLine commandLine = new CommandLine(again);
        commandLine.setDefaultValueProvider(new EnvironmentDefaults());
        List<String> arguments = mSpec.commandLine().getParseResult().originalArgs();
        try {
            commandLine.parseArgs(arguments.toArray(new String[0]));
            return new SettingsReloadDuty.ReadResult(again.validate(), null);
        } catch (ParameterException wrong) {
            return new SettingsReloadDuty.ReadResult(null, wrong.getMessage());
        }
    }

    private GatewaySettings validate() {
        if (mNode.isBlank() || mNode.contains("@")) {
            throw invalid("--node", mNode, "a name without @");
        }
        if (mFailureDomain.isBlank()) {
            throw invalid("--failure-domain", mFailureDomain, "a name");
        }
        checkRange("--metrics-port", mMetricsPort, HIGHEST_PORT);
        checkRange("--peer-port", mPeerPort, HIGHEST_PORT);
        checkRange("--directory-ttl-seconds", mDirectoryTtlSeconds, 60);
        checkBound("--store-reads-per-second", mStoreReadsPerSecond, 1, Integer.MAX_VALUE);
        checkBound("--settle-millis", mSettleMillis, 100, 3_600_000);
        checkBound("--drain-millis", mDrainMillis, 1, 3_600_000);
        checkBound("--retry-window-seconds", mRetryWindowSeconds, 1, 3_600);
        checkBound("--stop-limit-seconds", mStopLimitSeconds, 1, 3_600);
        checkBound("--holder-pause-millis", mHolderPauseMillis, 0, 3_600_000);
        checkBound("--wake-slack-millis", mWakeSlackMillis, 0, 3_600_000);
        checkBound("--retry-extra", mRetryExtra, 0, Integer.MAX_VALUE);
        checkBound("--quota-window-seconds", mQuotaOptions.windowSeconds(), 1, 3_600);
        checkBound("--quota-overrun", mQuotaOptions.overrun(), 0, 1);
        checkBound("--quota-slack", mQuotaOptions.slack(), 0, Integer.MAX_VALUE);
        checkRange("--store-loads-at-once", mStoreLoadsAtOnce, 1_000);
        if (mRevokeMillis != null) {
            checkBound("--revoke-millis", mRevokeMillis, 1_000, 3_600_000);
        }
        if (mRetryRatio < 0 || mRetryRatio > 1) {
            throw invalid("--retry-ratio", Double.toString(mRetryRatio), "0 to 1");
        }
        checkBound("--cores", mCores, 0, 1_000);
        checkBound("--cpu-share", mCpuShare, 0, 1_000);
        checkBound("--link-mbps", mLinkMbps, 0, (int) DaemonCapacity.MAX);
        checkBound("--domain-price", mDomainPrice, 0, 1_000);
        Address front = address("--front", mFront);
        return new GatewaySettings(
                self(front),
                new FailureDomain(mFailureDomain),
                address("--readiness", mReadiness),
                address("--directory", mDirectory),
                new Address(front.ip(), mMetricsPort),
                mPeerPort,
                address("--store", mStore),
                (int) mStoreReadsPerSecond,
                milliseconds(mSettleMillis),
                milliseconds(mDrainMillis),
                Duration.ofSeconds(mDirectoryTtlSeconds),
                (int) Math.floor(mRetryRatio * PERCENT),
                (int) Math.floor(mRetryExtra),
                milliseconds(mRetryWindowSeconds * MILLIS_PER_SECOND),
                milliseconds(mStopLimitSeconds * MILLIS_PER_SECOND),
                milliseconds(mHolderPauseMillis + mWakeSlackMillis),
                mStoreLoadsAtOnce,
                mQuotaOptions.bounds(),
                mDomainPrice,
                mRevokeMillis == null ? null : milliseconds(mRevokeMillis));
    }

    /** Returns this daemon, with the capacity of its VM if that is known. */
    private GatewayMember self(Address front) {
        double cores = mCores * mCpuShare;
        return cores > 0 && mLinkMbps > 0
                ? GatewayMember.of(
                        mNode,
                        front,
                        new FailureDomain(mFailureDomain),
                        new DaemonCapacity(cores, mLinkMbps))
                : GatewayMember.of(mNode, front);
    }

    private Address address(String flag, String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new Address(
                    text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException malformed) {
            throw invalid(flag, text, "IP:PORT");
        }
    }

    private void checkRange(String flag, int value, int highest) {
        if (value < 1 || value > highest) {
            throw invalid(flag, Integer.toString(value), "1 to " + highest);
        }
    }

    /** Checks a bound of the platform, which may be a fraction. */
    private void checkBound(String flag, double value, int lowest, int highest) {
        if (!(value >= lowest && value <= highest)) {
            throw invalid(flag, Double.toString(value), lowest + " to " + highest);
        }
    }

    private static Duration milliseconds(double value) {
        return Duration.ofMillis(Math.round(value));
    }

    private ParameterException invalid(String flag, String value, String allowed) {
        return new ParameterException(
                mSpec.commandLine(), ErrorMessage.BAD_FLAG.format(flag, value, allowed));
    }
}
