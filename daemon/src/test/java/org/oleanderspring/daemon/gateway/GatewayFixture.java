package org.oleanderspring.daemon.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.daemon.gateway.process.command.Gateway;
import org.oleanderspring.standin.hosted.HostedRunnerStandin;
import org.oleanderspring.standin.hosted.HostedStoreStandin;

/**
 * Gateway daemons with stand-ins for the store and the runners, all on loopback addresses. Each
 * daemon has an IP address of its own, because daemons reach each other at a common port.
 */
final class GatewayFixture implements AutoCloseable {
    static final String IP = "127.0.0.1";
    static final String HOST = "a.example";

    private static final int START_ATTEMPTS = 5;
    private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(20);
    private static final String CONFIGURATION =
            """
            {"version":%d,"routes":[
              {"name":"stream","host":"a.example","prefix":"/stream/","routeType":"streaming",
               "timeoutMs":9000,"targetLatencyMs":500,"priority":1,"service":"engine",
               "maxAttempts":3,"sticky":true,"resumable":true},
              {"name":"order","host":"a.example","prefix":"/order/","routeType":"unsafe",
               "timeoutMs":3000,"targetLatencyMs":150,"priority":2,"service":"%s",
               "maxAttempts":1}],
             "services":[
              {"name":"engine","healthPath":"/healthz","maxConnections":100,
               "engine":{"slots":4,"kvCapacityTokens":1000,"weightsMb":100,"adapterSlots":2,
                "loadsPerS":50,"models":[
                 {"name":"m1","weightsMb":60,"loadS":0.15,"adapters":0,"adapterMb":1},
                 {"name":"m2","weightsMb":60,"loadS":0.15,"adapters":0,"adapterMb":1}]}},
              {"name":"ledger","healthPath":"/healthz","maxConnections":100},
              {"name":"archive","healthPath":"/healthz","maxConnections":100}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,
              "idleTimeoutMs":15000}}
            """;

    static {
        // Lets requests set the Host header to the host of a route instead of the daemon's address.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private final HostedStoreStandin mStore = new HostedStoreStandin(IP, 0);
    private final List<HostedRunnerStandin> mRunners = new ArrayList<>();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final List<GatewaySettings> mSettings = new ArrayList<>();
    private final List<Gateway> mGateways = new ArrayList<>();

    /** Starts one daemon. */
    GatewayFixture() throws IOException {
        this(1);
    }

    /**
     * Starts daemons.
     *
     * @param daemons their number
     */
    GatewayFixture(int daemons) throws IOException {
        int peerPort = unusedAddress(IP).port();
        for (int index = 0; index < daemons; index++) {
            startAtUnusedPorts(index, peerPort);
        }
    }

    /**
     * Starts a daemon. Another socket may take a port between its choice and the start, so other
     * ports are tried then.
     */
    private void startAtUnusedPorts(int index, int peerPort) throws IOException {
        String failure = "";
        for (int attempt = 0; attempt < START_ATTEMPTS; attempt++) {
            GatewaySettings settings = settings(index, peerPort);
            Gateway gateway = new Gateway(settings);
            String unavailable = gateway.start();
            if (unavailable == null) {
                mSettings.add(settings);
                mGateways.add(gateway);
                return;
            }
            gateway.close();
            failure = unavailable;
        }
        throw new AssertionError(failure);
    }

    private GatewaySettings settings(int index, int peerPort) throws IOException {
        String ip = "127.0.0." + (index + 1);
        return SampleSettings.at(
                "vm-" + (index + 1),
                unusedAddress(ip),
                unusedAddress(ip),
                unusedAddress(ip),
                unusedAddress(ip),
                peerPort,
                new Address(IP, mStore.port()),
                Duration.ofMillis(50));
    }

    private static Gateway startGateway(GatewaySettings settings) {
        Gateway gateway = new Gateway(settings);
        String failure = gateway.start();
        if (failure != null) {
            throw new AssertionError(failure);
        }
        return gateway;
    }

    private static Address unusedAddress(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return new Address(ip, socket.getLocalPort());
        }
    }

    /** Ends a daemon without a planned stop. */
    void kill(int daemon) {
        mGateways.get(daemon).close();
    }

    /** Starts a daemon again that was killed, with its settings and addresses. */
    void restart(int daemon) {
        mGateways.set(daemon, startGateway(mSettings.get(daemon)));
    }

    HostedStoreStandin store() {
        return mStore;
    }

    Gateway gateway() {
        return mGateways.get(0);
    }

    Address frontAddress() {
        return mSettings.get(0).self().frontAddress();
    }

    /** Writes a configuration to the store whose route "order" leads to the given service. */
    void configure(int version, String orderService) {
        configure(mStore, version, orderService);
    }

    /**
     * Writes a configuration with further fields.
     *
     * @param fields their JSON, which begins with a comma
     */
    void configure(int version, String orderService, String fields) {
        String configuration = CONFIGURATION.formatted(version, orderService).strip();
        mStore.put(
                "op/config", configuration.substring(0, configuration.length() - 1) + fields + "}");
    }

    /**
     * Writes a configuration that allows request bodies which the buffers of a connection cannot
     * hold, so that a runner can answer while one is being sent.
     */
    void configureForUploads(int version, String orderService) {
        mStore.put(
                "op/config",
                CONFIGURATION
                        .formatted(version, orderService)
                        .replace("\"maxBodyBytes\":1000", "\"maxBodyBytes\":8000000"));
    }

    static void configure(HostedStoreStandin store, int version, String orderService) {
        store.put("op/config", CONFIGURATION.formatted(version, orderService));
    }

    /** Starts a runner that has loaded the given models, and registers it in the store. */
    HostedRunnerStandin addRunner(String instance, String service, String... models) {
        HostedRunnerStandin runner =
                new HostedRunnerStandin(IP, instance, service, List.of(models));
        mRunners.add(runner);
        mStore.put("servers/" + instance, runner.registryEntry(IP, "ready"));
        return runner;
    }

    void awaitReady() {
        for (GatewaySettings settings : mSettings) {
            await("the daemon is ready", () -> status(settings.readiness(), "/readyz") == 200);
        }
    }

    int status(Address address, String path) {
        return send(HttpRequest.newBuilder(uri(address, path)).build()).statusCode();
    }

    /** Returns the body of the directory's response. */
    String resolve() {
        return send(HttpRequest.newBuilder(
                                uri(
                                        mSettings.get(0).directory(),
                                        "/resolve?name=a.example&zone=east"))
                        .build())
                .body();
    }

    String metrics() {
        return metrics(0);
    }

    String metrics(int daemon) {
        Address address = mSettings.get(daemon).metrics();
        return send(HttpRequest.newBuilder(uri(address, "/metrics")).build()).body();
    }

    HttpResponse<String> order(String id) {
        return order(0, id);
    }

    HttpResponse<String> order(int daemon, String id) {
        Address address = mSettings.get(daemon).self().frontAddress();
        return send(request(address, "/order/1", id).POST(body("x")).build());
    }

    /** Sends a request with an API key that claims to come from another organisation. */
    HttpResponse<String> orderWithKey(String id, String key) {
        return send(
                request(frontAddress(), "/order/1", id)
                        .header("Api-Key", key)
                        .header("Tenant", "claimed")
                        .POST(body("x"))
                        .build());
    }

    CompletableFuture<HttpResponse<String>> stream(String id, String model) {
        return mClient.sendAsync(
                request("/stream/1", id).header("Model", model).POST(body("prompt")).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Sends a streaming request whose prompt has parts to one of the daemons.
     *
     * @param parts the identities of the parts, separated by commas
     */
    CompletableFuture<HttpResponse<String>> stream(
            int daemon, String id, String model, String parts) {
        return mClient.sendAsync(
                request(mSettings.get(daemon).self().frontAddress(), "/stream/1", id)
                        .header("Model", model)
                        .header("Prompt-Prefix", parts.replace(",", ":10,") + ":10")
                        .POST(body("prompt"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> post(String path, String content) {
        return send(request(path, "p").POST(body(content)).build());
    }

    private HttpRequest.Builder request(String path, String id) {
        return request(frontAddress(), path, id);
    }

    private static HttpRequest.Builder request(Address daemon, String path, String id) {
        return HttpRequest.newBuilder(uri(daemon, path))
                .header("Host", HOST)
                .header("Attempt-Id", id)
                .header("Deadline-Ms", "8000");
    }

    private static HttpRequest.BodyPublisher body(String text) {
        return HttpRequest.BodyPublishers.ofString(text);
    }

    private static URI uri(Address address, String path) {
        return URI.create("http://" + address.ip() + ":" + address.port() + path);
    }

    private HttpResponse<String> send(HttpRequest request) {
        try {
            return mClient.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException failure) {
            throw new AssertionError(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new AssertionError(interrupted);
        }
    }

    static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + CONDITION_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError(
                        "condition not met within " + CONDITION_TIMEOUT + ": " + what);
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw new AssertionError(interrupted);
            }
        }
    }

    @Override
    public void close() {
        mGateways.forEach(Gateway::close);
        mRunners.forEach(HostedRunnerStandin::close);
        mStore.close();
    }
}
