package org.oleanderspring.daemon.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderspring.daemon.Oleanderspring;
import org.oleanderspring.standin.hosted.HostedStoreStandin;

/** Runs {@code gateway} as a process. */
class GatewayProcessTest {
    private static final String IP = "127.0.0.1";
    private static final Duration START_LIMIT = Duration.ofSeconds(30);

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path mDirectory;

    private FleetProcess startGateway(int storePort, String... flags) throws IOException {
        List<String> arguments = new ArrayList<>(List.of(flags));
        arguments.add(0, "gateway");
        arguments.addAll(
                List.of(
                        "--node=vm-1",
                        "--failure-domain=east",
                        "--front=" + freeAddress(),
                        "--readiness=" + freeAddress(),
                        "--directory=" + freeAddress(),
                        "--metrics-port=" + FreePorts.next(),
                        "--peer-port=" + FreePorts.next(),
                        "--store=" + IP + ":" + storePort));
        return new FleetProcess(mDirectory, "gateway", Oleanderspring.class.getName(), arguments);
    }

    private static String freeAddress() {
        return IP + ":" + FreePorts.next();
    }

    private static void awaitLine(FleetProcess process, String text) throws Exception {
        long end = System.nanoTime() + START_LIMIT.toNanos();
        while (!process.log().contains(text)) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new AssertionError("no line with " + text + " in:\n" + process.log());
            }
            Thread.sleep(20);
        }
    }

    /**
     * Guards against a daemon that does not start because a bound of the platform is a fraction.
     */
    @Test
    void boundsMayBeFractions() throws Exception {
        try (HostedStoreStandin store = new HostedStoreStandin(IP, 0);
                FleetProcess gateway =
                        startGateway(
                                store.port(),
                                "--retry-extra=38.666666666666664",
                                "--retry-window-seconds=10.5",
                                "--stop-limit-seconds=8.25",
                                "--holder-pause-millis=2999.5",
                                "--wake-slack-millis=0.5")) {
            awaitLine(gateway, "[gateway] started");
        }
    }

    /** Guards against a planned stop whose steps are missing from the log. */
    @Test
    void plannedStopIsLogged() throws Exception {
        try (HostedStoreStandin store = new HostedStoreStandin(IP, 0);
                FleetProcess gateway = startGateway(store.port())) {
            awaitLine(gateway, "[placement] tenure-began");
            gateway.signal("TERM");
            assertThat(gateway.awaitExit(), is(0));
            assertThat(gateway.log(), containsString("[gateway] stop-ended"));
            assertThat(gateway.log(), containsString("leases-released=true"));
        }
    }
}
