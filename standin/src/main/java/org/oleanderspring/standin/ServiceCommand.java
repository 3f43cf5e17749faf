package org.oleanderspring.standin;

import java.time.Duration;
import java.util.concurrent.Callable;
import org.oleanderspring.standin.service.ServiceStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Subcommand {@code service}: runs a simulated service without a model. */
@Command(name = "service", mixinStandardHelpOptions = true)
final class ServiceCommand implements Callable<Integer> {
    @Option(names = "--ip", defaultValue = "127.0.0.1", description = "IP address to listen on")
    private String mIp = "127.0.0.1";

    @Option(names = "--port", defaultValue = "0", description = "port to listen on, 0 for any")
    private int mPort;

    @Option(names = "--work-ms", defaultValue = "0", description = "duration of a call")
    private long mWorkMillis;

    @Override
    public Integer call() {
        try (ServiceStandin service =
                new ServiceStandin(mIp, mPort, Duration.ofMillis(mWorkMillis))) {
            service.start();
            StandinTool.printReady("service", mIp, service.port());
            StandinTool.awaitTermination();
        }
        return 0;
    }
}
