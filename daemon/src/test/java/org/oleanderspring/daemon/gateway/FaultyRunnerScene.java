package org.oleanderspring.daemon.gateway;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.oleanderspring.standin.hosted.EndlessAnswer;
import org.oleanderspring.standin.hosted.FaultyRunnerStandin;
import org.oleanderspring.standin.hosted.HostedRunnerStandin;
import org.oleanderspring.standin.hosted.HostedStoreStandin;

/**
 * A daemon in a process of its own, with the memory of the deploy file, in front of one service of
 * which two of eight runners are faulty and another service whose runners are sound.
 */
final class FaultyRunnerScene implements AutoCloseable {
    private static final String IP = "127.0.0.1";
    private static final int SOUND_RUNNERS = 6;
    private static final int FAULTY_RUNNERS = 2;

    /** A link of 1,000 Mbit/s, less the overhead of the protocols. */
    private static final long BYTES_PER_SECOND = 100_000_000;

    /** How often the daemon is started if a port is taken between its choice and its use. */
    private static final int START_LIMIT = 5;

    private static final Duration START_TIME = Duration.ofSeconds(30);
    private static final Duration REQUEST_TIME = Duration.ofSeconds(10);

    static {
        // Lets requests set the Host header to the host of a route instead of the daemon's address.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private final HostedStoreStandin mStore = new HostedStoreStandin(IP, 0);
    private final List<AutoCloseable> mRunners = new ArrayList<>();
    private final List<FaultyRunnerStandin> mFaulty = new ArrayList<>();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final Path mFolder;
    private List<Integer> mPorts = List.of();
    private Process mDaemon;
    private final AtomicInteger mNext = new AtomicInteger();

    FaultyRunnerScene(EndlessAnswer answer) throws IOException {
        GatewayFixture.configure(mStore, 1, "ledger");
        for (int index = 0; index < SOUND_RUNNERS; index++) {
            addSound("i-" + index, "engine", "m1");
        }
        addSound("ledger-1", "ledger");
        addSound("ledger-2", "ledger");
        mFolder = Files.createTempDirectory("faulty-runner");
        mDaemon = startDaemon();
        for (int start = 1; start < START_LIMIT && !becomesReady(); start++) {
            mDaemon = startDaemon();
        }
        GatewayFixture.await("the daemon is ready", this::isReady);
        for (int index = 0; index < FAULTY_RUNNERS; index++) {
            addFaulty("faulty-" + index, answer);
        }
    }

    /** Returns false if the daemon ended because another process has taken one of its ports. */
    private boolean becomesReady() throws IOException {
        GatewayFixture.await(
                "the daemon is ready or has ended", () -> isReady() || !mDaemon.isAlive());
        return mDaemon.isAlive() || !logText().startsWith("cannot listen on ");
    }

    private static List<Integer> unusedPorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName(IP)));
        }
        List<Integer> ports = new ArrayList<>();
        for (ServerSocket socket : sockets) {
            ports.add(socket.getLocalPort());
            socket.close();
        }
        return ports;
    }

    private void addSound(String instance, String service, String... models) {
        HostedRunnerStandin runner =
                new HostedRunnerStandin(IP, instance, service, List.of(models));
        mRunners.add(runner);
        mStore.put("servers/" + instance, runner.registryEntry(IP, "ready"));
    }

    private void addFaulty(String instance, EndlessAnswer answer) {
        FaultyRunnerStandin runner = new FaultyRunnerStandin(IP, answer, BYTES_PER_SECOND);
        mRunners.add(runner);
        mFaulty.add(runner);
        String entry;
        try (HostedRunnerStandin model =
                new HostedRunnerStandin(IP, instance, "engine", List.of("m1"))) {
            entry =
                    model.registryEntry(IP, "ready")
                            .replace(":" + model.port(), ":" + runner.port());
        }
        mStore.put("servers/" + instance, entry);
    }

    private Process startDaemon() throws IOException {
        mPorts = unusedPorts(5);
        Path settings = mFolder.resolve("node.env");
        List<String> lines = new ArrayList<>();
        Map.of(
                        "NODE", "vm-1",
                        "FAILURE_DOMAIN", "east",
                        "FRONT", address(0),
                        "READINESS", address(1),
                        "DIRECTORY", address(2),
                        "PEER_PORT", mPorts.get(3).toString(),
                        "METRICS_PORT", mPorts.get(4).toString(),
                        "STORE", IP + ":" + mStore.port())
                .forEach((name, value) -> lines.add("OLEANDERSPRING_" + name + "=" + value));
        Files.write(settings, lines);
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xms48m",
                        "-Xmx128m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Dio.netty.jfr.enabled=false",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.oleanderspring.daemon.Oleanderspring",
                        "gateway");
        builder.environment().put("OLEANDERSPRING_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(log());
        return builder.start();
    }

    private File log() {
        return mFolder.resolve("daemon.log").toFile();
    }

    String logText() throws IOException {
        return Files.readString(log().toPath(), StandardCharsets.UTF_8);
    }

    private String address(int port) {
        return IP + ":" + mPorts.get(port);
    }

    private boolean isReady() {
        try {
            return get(1, "/readyz").statusCode() == 200;
        } catch (IOException notListening) {
            return false;
        }
    }

    String metrics() throws IOException {
        return get(4, "/metrics").body();
    }

    private HttpResponse<String> get(int port, String path) throws IOException {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + address(port) + path))
                        .timeout(REQUEST_TIME)
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the status of a request to the sound service, or 0 if there is no answer. */
    int order() {
        return post("/order/1", Map.of());
    }

    /** Returns the status of a request to the service with faulty runners, or 0. */
    int stream() {
        return post("/stream/1", Map.of("Model", "m1"));
    }

    private int post(String path, Map<String, String> fields) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address(0) + path))
                        .header("Host", GatewayFixture.HOST)
                        .header("Attempt-Id", "a" + mNext.incrementAndGet())
                        .header("Deadline-Ms", "4000")
                        .timeout(REQUEST_TIME)
                        .POST(HttpRequest.BodyPublishers.ofString("x"));
        fields.forEach(request::header);
        try {
            return send(request.build(), HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException failure) {
            return 0;
        }
    }

    private <T> HttpResponse<T> send(HttpRequest request, HttpResponse.BodyHandler<T> handler)
            throws IOException {
        try {
            return mClient.send(request, handler);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException(interrupted);
        }
    }

    /** Returns the number of answers that the faulty runners have begun. */
    long faultyAnswers() {
        return mFaulty.stream().mapToLong(FaultyRunnerStandin::answers).sum();
    }

    boolean isDaemonAlive() {
        return mDaemon.isAlive();
    }

    @Override
    public void close() throws Exception {
        mDaemon.destroyForcibly();
        mDaemon.waitFor(START_TIME.toSeconds(), TimeUnit.SECONDS);
        for (AutoCloseable runner : mRunners) {
            runner.close();
        }
        mStore.close();
    }
}
