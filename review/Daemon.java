package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon, started by the run line and the settings template of the deploy file. */
final class Daemon implements AutoCloseable {
    private static final Path ROOT = Path.of(System.getProperty("review.root")).toAbsolutePath();

    final String name;
    final String ip;
    final Store.Port storePort;
    private final Path mFolder;
    private final String mFront;
    private final String mReadiness;
    private final String mDirectory;
    private final Path mSettings;
    private Process mProcess;
    private int mStarts;

    /** Creates a daemon on a loopback address of its own; nothing is started yet. */
    Daemon(String name, String ip, Store store, int peerPort, Path folder) throws IOException {
        this.name = name;
        this.ip = ip;
        mFolder = folder;
        storePort = store.open("127.0.0.1");
        List<Integer> ports = freePorts(ip, 3);
        mFront = ip + ":" + ports.get(0);
        mReadiness = ip + ":" + ports.get(1);
        mDirectory = ip + ":" + ports.get(2);
        mSettings = folder.resolve(name + ".env");
        Map<String, String> values =
                Map.ofEntries(
                        Map.entry("nodeName", name),
                        Map.entry("zone", "zone-a"),
                        Map.entry("listen.frontend", mFront),
                        Map.entry("listen.readiness", mReadiness),
                        Map.entry("listen.directory", mDirectory),
                        Map.entry("internalPortRange.0", String.valueOf(peerPort)),
                        Map.entry("platform.address", "127.0.0.1:" + storePort.number()),
                        Map.entry("bounds.retryBudgetRatio", "0.2"),
                        Map.entry("bounds.budgetExtraRetries", "54"),
                        Map.entry("bounds.budgetWindowS", "10"),
                        Map.entry("bounds.graceS", "8"),
                        Map.entry("bounds.leaseMs", "3000"),
                        Map.entry("bounds.thawMs", "300"));
        String template = Files.readString(ROOT.resolve(deployValue("template")));
        Matcher matcher = Pattern.compile("\\{\\{([^}]*)}}").matcher(template);
        Files.writeString(
                mSettings, matcher.replaceAll(match -> values.get(match.group(1).trim())));
    }

    private static String deployValue(String key) throws IOException {
        Matcher matcher =
                Pattern.compile("(?m)^" + key + " = \"(.*)\"$")
                        .matcher(Files.readString(ROOT.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("the deploy file has no line " + key);
        }
        return matcher.group(1);
    }

    static List<Integer> freePorts(String ip, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>(Arrays.asList(deployValue("run").split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(ROOT.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("OLEANDERSPRING_NODE_FILE", mSettings.toString());
        mStarts++;
        builder.redirectErrorStream(true).redirectOutput(log().toFile());
        mProcess = builder.start();
    }

    /** The output of the current process. */
    Path log() {
        return mFolder.resolve(name + "-" + mStarts + ".log");
    }

    String front() {
        return mFront;
    }

    boolean isAlive() {
        return mProcess != null && mProcess.isAlive();
    }

    long pid() {
        return mProcess.pid();
    }

    boolean isReady() {
        try {
            return Http.call(mReadiness, "GET /readyz HTTP/1.1\r\nHost: x\r\n", new byte[0], 1_000).status() == 200;
        } catch (IOException | RuntimeException notReady) {
            return false;
        }
    }

    /** Waits until the daemon is ready; returns whether it is. */
    boolean awaitReady(int seconds) throws InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(mProcess.pid())).start().waitFor();
    }

    @Override
    public void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }
}
