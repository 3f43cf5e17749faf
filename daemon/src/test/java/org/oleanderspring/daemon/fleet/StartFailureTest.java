package org.oleanderspring.daemon.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oleanderspring.daemon.Oleanderspring;
import org.oleanderspring.daemon.process.ExitCode;

/** Guards against a process that goes on without serving after its start has failed. */
class StartFailureTest {
    private static final String IP = "127.0.0.1";

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path mDirectory;

    private static String address() {
        return IP + ":" + FreePorts.next();
    }

    private void assertExits(List<String> arguments) throws Exception {
        try (FleetProcess process =
                new FleetProcess(
                        mDirectory, "process", Oleanderspring.class.getName(), arguments)) {
            assertThat(process.awaitExit(), is(ExitCode.USAGE));
            assertThat(process.log(), containsString("cannot listen on"));
        }
    }

    @Test
    void gatewayExitsIfItsFrontPortIsInUse() throws Exception {
        try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
            assertExits(
                    List.of(
                            "gateway",
                            "--node=vm-1",
                            "--failure-domain=east",
                            "--front=" + IP + ":" + used.getLocalPort(),
                            "--readiness=" + address(),
                            "--directory=" + address(),
                            "--metrics-port=" + FreePorts.next(),
                            "--peer-port=" + FreePorts.next(),
                            "--store=" + address()));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"--caller-port", "--operator-port", "--peer-port"})
    void serveExitsIfAPortIsInUse(String flag) throws Exception {
        try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
            List<String> arguments =
                    new ArrayList<>(
                            List.of(
                                    "serve",
                                    "--ip=" + IP,
                                    "--failure-domain=east",
                                    "--key-value-service=http://" + address(),
                                    "--vm-list=http://" + address(),
                                    "--weight-store=http://" + address()));
            for (String port : List.of("--caller-port", "--operator-port", "--peer-port")) {
                int number = port.equals(flag) ? used.getLocalPort() : FreePorts.next();
                arguments.add(port + "=" + number);
            }
            assertExits(arguments);
        }
    }
}
