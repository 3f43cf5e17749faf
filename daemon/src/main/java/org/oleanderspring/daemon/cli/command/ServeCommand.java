package org.oleanderspring.daemon.cli.command;

import java.net.InetAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.daemon.cli.DaemonFlags.HttpAddress;
import org.oleanderspring.daemon.process.DaemonIdentity;
import org.oleanderspring.daemon.process.ExitCode;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.process.ProcessSettings;
import org.oleanderspring.daemon.process.command.Daemon;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs the daemon until the process receives a signal to end. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description =
                "Runs the daemon. Each flag falls back to an environment variable, for"
                        + " example --caller-port to OLEANDERSPRING_CALLER_PORT.")
public final class ServeCommand implements Callable<Integer> {
    private static final int HIGHEST_PORT = 65_535;
    private static final int HIGHEST_BODY_BYTES = 64 * 1024 * 1024;
    private static final int HIGHEST_STOP_SECONDS = 3_600;

    @Spec private CommandSpec mSpec;

    @Option(
            names = "--ip",
            paramLabel = "IP",
            defaultValue = "127.0.0.1",
            description =
                    "Numeric IP address on which all ports listen, and at which callers and other"
                            + " daemons reach this one.")
    private String mIp;

    @Option(
            names = "--caller-port",
            paramLabel = "PORT",
            defaultValue = "8080",
            description = "Port for callers.")
    private int mCallerPort;

    @Option(
            names = "--operator-port",
            paramLabel = "PORT",
            defaultValue = "8081",
            description = "Port for operators: settings, status and metrics.")
    private int mOperatorPort;

    @Option(
            names = "--peer-port",
            paramLabel = "PORT",
            defaultValue = "8082",
            description = "Port for other daemons, TCP and UDP.")
    private int mPeerPort;

    @Option(
            names = "--failure-domain",
            paramLabel = "NAME",
            required = true,
            description = "Failure domain of this VM.")
    private String mFailureDomain;

    @Option(
            names = "--key-value-service",
            paramLabel = "URL",
            required = true,
            description = "Key-value service of the platform.")
    private String mKeyValueService;

    @Option(
            names = "--vm-list",
            paramLabel = "URL",
            required = true,
            description = "VM list of the platform.")
    private String mVmList;

    @Option(
            names = "--weight-store",
            paramLabel = "URL",
            required = true,
            description = "Weight store of the platform.")
    private String mWeightStore;

    @Option(
            names = "--body-limit-bytes",
            paramLabel = "BYTES",
            defaultValue = "4194304",
            description = "Largest body of a call.")
    private int mBodyLimitBytes;

    @Option(
            names = "--stop-limit-seconds",
            paramLabel = "SECONDS",
            defaultValue = "600",
            description = "How long a planned stop waits for running calls.")
    private int mStopLimitSeconds;

    /** Created by picocli, which sets the flags. */
    @SuppressWarnings("NullAway.Init")
    public ServeCommand() {}

    @Override
    public Integer call() throws Exception {
        ProcessSettings settings = validate();
        Daemon daemon = new Daemon(settings, new MonotonicClock(Clock.systemUTC()));
        String failure = daemon.start();
        if (failure != null) {
            mSpec.commandLine().getErr().println(failure);
            daemon.abort();
            return ExitCode.USAGE;
        }
        StopSignals.handle(daemon::stop);
        new CountDownLatch(1).await();
        return ExitCode.SUCCESS;
    }

    private ProcessSettings validate() {
        checkIp();
        Address caller = address("--caller-port", mCallerPort);
        Address operator = address("--operator-port", mOperatorPort);
        Address peer = address("--peer-port", mPeerPort);
        checkRange("--body-limit-bytes", mBodyLimitBytes, HIGHEST_BODY_BYTES);
        checkRange("--stop-limit-seconds", mStopLimitSeconds, HIGHEST_STOP_SECONDS);
        if (mFailureDomain.isBlank()) {
            throw invalid("--failure-domain", mFailureDomain, "a name");
        }
        URI keyValueService = HttpAddress.parse(mSpec, "--key-value-service", mKeyValueService);
        URI vmList = HttpAddress.parse(mSpec, "--vm-list", mVmList);
        URI weightStore = HttpAddress.parse(mSpec, "--weight-store", mWeightStore);
        return new ProcessSettings(
                DaemonIdentity.of(peer, System.currentTimeMillis()),
                new FailureDomain(mFailureDomain),
                caller,
                operator,
                peer,
                keyValueService,
                vmList,
                weightStore,
                mBodyLimitBytes,
                Duration.ofSeconds(mStopLimitSeconds));
    }

    /** Rejects most host names by their characters, before the lookup could query the DNS. */
    private void checkIp() {
        boolean numeric = mIp.matches("[0-9.]+|[0-9a-fA-F:]+");
        if (!numeric || !isAddress(mIp)) {
            throw invalid("--ip", mIp, "a numeric IP address");
        }
    }

    private static boolean isAddress(String ip) {
        try {
            return InetAddress.getByName(ip).getHostAddress() != null;
        } catch (UnknownHostException malformed) {
            return false;
        }
    }

    private Address address(String flag, int port) {
        checkRange(flag, port, HIGHEST_PORT);
        return new Address(mIp, port);
    }

    private void checkRange(String flag, int value, int highest) {
        if (value < 1 || value > highest) {
            throw invalid(flag, Integer.toString(value), "1 to " + highest);
        }
    }

    private ParameterException invalid(String flag, String value, String allowed) {
        return new ParameterException(
                mSpec.commandLine(), ErrorMessage.BAD_FLAG.format(flag, value, allowed));
    }
}
