package org.oleanderspring.daemon.fleet;

import static java.nio.charset.StandardCharsets.US_ASCII;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.oleanderspring.daemon.Oleanderspring;
import org.oleanderspring.standin.StandinTool;

/**
 * A small fleet of real processes on the loopback interface: the platform's services, engines, one
 * service without models, and daemons.
 */
final class TestFleet implements AutoCloseable {
    private static final String IP = "127.0.0.1";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The time limit of each request and of each awaited condition. */
    private static final Duration LIMIT = Duration.ofSeconds(60);

    private static final long PAUSE_MILLIS = 100;
    private static final int MODEL_MEGABYTES = 4_000;

    /** The memory of a runner: enough for two models, but not for three. */
    private static final int RUNNER_MEGABYTES = 9_000;

    private final HttpClient mHttp = HttpClient.newHttpClient();
    private final Path mDirectory;
    private final List<FleetProcess> mProcesses = new ArrayList<>();
    private final List<FleetProcess> mDaemons = new ArrayList<>();
    private final List<Integer> mCallerPorts = new ArrayList<>();
    private final List<Integer> mOperatorPorts = new ArrayList<>();
    private final List<Integer> mPeerPorts = new ArrayList<>();
    private final List<Integer> mEnginePorts = new ArrayList<>();
    private final int mStorePort = FreePorts.next();
    private final int mVmListPort = FreePorts.next();
    private final int mWeightsPort = FreePorts.next();
    private final int mServicePort = FreePorts.next();

    /**
     * Starts the processes and waits until all daemons serve.
     *
     * @param directory receives the logs of the processes and the files that they read
     * @param daemons the number of daemons
     * @param engines the number of engines, each on a VM of its own
     * @param models the number of models in the catalogue
     * @param engineFlags additional flags of each engine
     */
    TestFleet(Path directory, int daemons, int engines, int models, List<String> engineFlags)
            throws Exception {
        mDirectory = directory;
        for (int number = 0; number < daemons; number++) {
            mCallerPorts.add(FreePorts.next());
            mOperatorPorts.add(FreePorts.next());
            mPeerPorts.add(FreePorts.next());
        }
        for (int number = 0; number < engines; number++) {
            mEnginePorts.add(FreePorts.next());
        }
        startPlatform(models);
        await("the platform responds", this::isPlatformReady);
        for (int number = 0; number < engines; number++) {
            startEngine(number, engineFlags);
        }
        startStandin("service", List.of("service", "--ip", IP, "--port", text(mServicePort)));
        for (int number = 0; number < daemons; number++) {
            startDaemon(number);
        }
        await("all daemons are members", () -> aliveMembers(0) == daemons);
        await("settings are accepted", () -> applySettings("{}") == 0);
        await("all daemons serve", this::allServe);
    }

    /**
     * Returns whether the platform responds. Engines read the catalogue only once, at their start,
     * so they are started afterwards.
     */
    private boolean isPlatformReady() throws Exception {
        return get(mWeightsPort, "/v1/checkpoints").has("checkpoints")
                && get(mVmListPort, "/vms").has("vms");
    }

    private boolean allServe() throws Exception {
        for (int number = 0; number < mDaemons.size(); number++) {
            boolean ready =
                    get(mOperatorPorts.get(number), "/status")
                                    .path("settings")
                                    .path("mayDecide")
                                    .asBoolean()
                            && get(mCallerPorts.get(number), "/v1/models").path("data").size() > 0;
            if (!ready) {
                return false;
            }
        }
        return true;
    }

    private int aliveMembers(int daemon) throws Exception {
        int alive = 0;
        for (JsonNode member : get(mOperatorPorts.get(daemon), "/status").path("members")) {
            alive += member.path("state").asText().equals("ALIVE") ? 1 : 0;
        }
        return alive;
    }

    /**
     * Applies settings with these defaults, a JSON object, through the first daemon; returns 0 if
     * they were accepted.
     */
    int applySettings(String defaults) throws Exception {
        long number = get(mOperatorPorts.get(0), "/settings").path("basedOn").asLong();
        String draft =
                "{\"basedOn\":" + number + ",\"author\":\"test\",\"defaults\":" + defaults + "}";
        return post(mOperatorPorts.get(0), "/settings", draft).has("number") ? 0 : 1;
    }

    private void startPlatform(int models) throws IOException {
        Path vms = mDirectory.resolve("vms.json");
        Path catalogue = mDirectory.resolve("catalogue.json");
        Files.writeString(vms, vmList().toString());
        Files.writeString(catalogue, catalogue(models).toString());
        startStandin(
                "platform",
                List.of(
                        "platform",
                        "--ip",
                        IP,
                        "--keyvalue-port",
                        text(mStorePort),
                        "--vmlist-port",
                        text(mVmListPort),
                        "--weights-port",
                        text(mWeightsPort),
                        "--vms",
                        vms.toString(),
                        "--catalogue",
                        catalogue.toString()));
    }

    private static ObjectNode catalogue(int models) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode checkpoints = root.putArray("checkpoints");
        for (int number = 0; number < models; number++) {
            ObjectNode checkpoint = checkpoints.addObject();
            checkpoint.put("name", "model-" + number);
            checkpoint.putNull("base");
            checkpoint.put("version", "v1");
            checkpoint.put("memoryMegabytes", MODEL_MEGABYTES);
        }
        return root;
    }

    /** Returns the VM list, with all VMs in state LIVE. */
    ObjectNode vmList() {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode vms = root.putArray("vms");
        for (int number = 0; number < mEnginePorts.size(); number++) {
            ObjectNode endpoint = addVm(vms, "runner-vm-" + number, RUNNER_MEGABYTES);
            endpoint.put("id", "runner-" + number);
            endpoint.put("address", IP + ":" + mEnginePorts.get(number));
            endpoint.put("kind", "RUNNER");
            endpoint.put("cell", "assistant");
        }
        ObjectNode service = addVm(vms, "service-vm", 0);
        service.put("id", "ledger-0");
        service.put("address", IP + ":" + mServicePort);
        service.put("kind", "SERVICE");
        service.put("cell", "plain");
        service.put("service", "ledger");
        ArrayNode entries = root.putArray("entries");
        for (int number = 0; number < mPeerPorts.size(); number++) {
            ObjectNode entry = entries.addObject();
            entry.put("id", "entry-vm-" + number);
            entry.put("failureDomain", "domain-" + number);
            entry.put("state", "LIVE");
            entry.put("peerAddress", IP + ":" + mPeerPorts.get(number));
        }
        return root;
    }

    private static ObjectNode addVm(ArrayNode vms, String id, int megabytes) {
        ObjectNode vm = vms.addObject();
        vm.put("id", id);
        vm.put("failureDomain", "domain-0");
        vm.put("state", "LIVE");
        vm.put("memoryMegabytes", megabytes);
        return vm.putArray("endpoints").addObject();
    }

    void publishVms(ObjectNode vms) throws Exception {
        send(mVmListPort, "PUT", "/vms", vms.toString(), List.of());
    }

    private void startEngine(int number, List<String> flags) throws IOException {
        List<String> arguments =
                new ArrayList<>(
                        List.of(
                                "engine",
                                "--ip",
                                IP,
                                "--port",
                                text(mEnginePorts.get(number)),
                                "--runner",
                                "runner-" + number,
                                "--weights",
                                IP + ":" + mWeightsPort,
                                "--memory-mb",
                                text(RUNNER_MEGABYTES),
                                "--load-remote-ms",
                                "500"));
        arguments.addAll(flags);
        startStandin("engine-" + number, arguments);
    }

    private void startStandin(String name, List<String> arguments) throws IOException {
        mProcesses.add(new FleetProcess(mDirectory, name, StandinTool.class.getName(), arguments));
    }

    private void startDaemon(int number) throws IOException {
        FleetProcess daemon =
                new FleetProcess(
                        mDirectory,
                        "daemon-" + number,
                        Oleanderspring.class.getName(),
                        List.of(
                                "serve",
                                "--ip",
                                IP,
                                "--caller-port",
                                text(mCallerPorts.get(number)),
                                "--operator-port",
                                text(mOperatorPorts.get(number)),
                                "--peer-port",
                                text(mPeerPorts.get(number)),
                                "--failure-domain",
                                "domain-" + number,
                                "--key-value-service",
                                "http://" + IP + ":" + mStorePort,
                                "--vm-list",
                                "http://" + IP + ":" + mVmListPort,
                                "--weight-store",
                                "http://" + IP + ":" + mWeightsPort));
        mProcesses.add(daemon);
        mDaemons.add(daemon);
    }

    FleetProcess daemon(int number) {
        return mDaemons.get(number);
    }

    String callerAddress(int daemon) {
        return IP + ":" + mCallerPorts.get(daemon);
    }

    JsonNode status(int daemon) throws Exception {
        return get(mOperatorPorts.get(daemon), "/status");
    }

    JsonNode directory(int daemon) throws Exception {
        return get(mCallerPorts.get(daemon), "/v1/entries");
    }

    JsonNode engineLedger(int engine) throws Exception {
        return get(mEnginePorts.get(engine), "/ledger");
    }

    JsonNode engineReport(int engine) throws Exception {
        return get(mEnginePorts.get(engine), "/report");
    }

    JsonNode serviceLedger() throws Exception {
        return get(mServicePort, "/ledger");
    }

    void serviceFault(String fault) throws Exception {
        post(mServicePort, "/faults", fault);
    }

    void storeFault(String fault) throws Exception {
        post(mStorePort, "/faults", fault);
    }

    /** Sends bytes that are not a peer message to a daemon's peer port. */
    void sendGarbageToPeerPort(int daemon) throws IOException {
        try (Socket socket = new Socket(IP, mPeerPorts.get(daemon))) {
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(US_ASCII));
            socket.getOutputStream().flush();
        }
    }

    /**
     * Returns the index of the daemon that holds the lease of the runners' cell, or -1 if none
     * does.
     */
    int holder() throws Exception {
        for (int number = 0; number < mDaemons.size(); number++) {
            if (!mDaemons.get(number).isAlive()) {
                continue;
            }
            for (JsonNode lease : status(number).path("leases")) {
                if (lease.path("held").asBoolean()) {
                    return number;
                }
            }
        }
        return -1;
    }

    /**
     * Sends a call to a daemon and waits for the response.
     *
     * @param headers names and values in turn
     */
    HttpResponse<String> call(int daemon, String path, String body, List<String> headers)
            throws Exception {
        return send(mCallerPorts.get(daemon), "POST", path, body, headers);
    }

    private JsonNode get(int port, String path) throws Exception {
        return MAPPER.readTree(send(port, "GET", path, "", List.of()).body());
    }

    private JsonNode post(int port, String path, String body) throws Exception {
        return MAPPER.readTree(send(port, "POST", path, body, List.of()).body());
    }

    private HttpResponse<String> send(
            int port, String method, String path, String body, List<String> headers)
            throws Exception {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + IP + ":" + port + path))
                        .timeout(LIMIT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!headers.isEmpty()) {
            request.headers(headers.toArray(String[]::new));
        }
        return mHttp.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Waits up to 60 s until a condition holds. An I/O error counts as not holding, since a process
     * may not listen yet. The error of a time-out contains the logs of all daemons.
     */
    void await(String what, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + LIMIT.toNanos();
        while (System.nanoTime() < end) {
            if (holds(condition)) {
                return;
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        StringBuilder logs = new StringBuilder();
        for (FleetProcess daemon : mDaemons) {
            logs.append(daemon.log()).append("\n----\n");
        }
        throw new AssertionError(
                "condition not reached within " + LIMIT + ": " + what + "\n" + logs);
    }

    private static boolean holds(Callable<Boolean> condition) throws Exception {
        try {
            return condition.call();
        } catch (IOException notYet) {
            return false;
        }
    }

    private static String text(int number) {
        return Integer.toString(number);
    }

    @Override
    public void close() {
        mProcesses.forEach(FleetProcess::close);
    }
}
