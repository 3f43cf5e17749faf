package org.oleanderspring.daemon.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One process of a test fleet, started with the class path of the test. Its output goes to a log
 * file.
 */
final class FleetProcess implements AutoCloseable {
    private static final long EXIT_LIMIT_SECONDS = 60;

    private final Process mProcess;
    private final Path mLog;

    FleetProcess(Path directory, String name, String mainClass, List<String> arguments)
            throws IOException {
        mLog = directory.resolve(name + ".log");
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx128m", "-cp"));
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(arguments);
        mProcess =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(new File(mLog.toString()))
                        .start();
    }

    String log() throws IOException {
        return Files.readString(mLog, StandardCharsets.UTF_8);
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Sends a signal, for example STOP, CONT, TERM or KILL. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
    }

    /** Waits for the end of the process and returns its exit code. */
    int awaitExit() throws InterruptedException {
        if (!mProcess.waitFor(EXIT_LIMIT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException(
                    "the process did not end within "
                            + EXIT_LIMIT_SECONDS
                            + " s; its log: "
                            + mLog);
        }
        return mProcess.exitValue();
    }

    @Override
    public void close() {
        mProcess.destroyForcibly();
    }
}
