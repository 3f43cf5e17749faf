package org.oleanderspring.standin;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.oleanderspring.standin.load.command.LoadGeneratorCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Command-line entry point of the stand-ins and of the load generator. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        subcommands = {
            EngineCommand.class,
            ServiceCommand.class,
            PlatformCommand.class,
            LoadGeneratorCommand.class
        })
public final class StandinTool {
    private static final PrintStream OUT = System.out;

    private StandinTool() {}

    /**
     * Runs a subcommand and exits with its status. Stand-ins run until the process is terminated.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new StandinTool()).execute(arguments));
    }

    /**
     * Prints the line that tells a script that a server accepts requests, and at which address.
     *
     * @param name the kind of the server
     * @param ip the IP address that it listens on
     * @param port the port that it listens on
     */
    static void printReady(String name, String ip, int port) {
        OUT.println("ready " + name + " " + ip + ":" + port);
        OUT.flush();
    }

    /**
     * Blocks until the thread is interrupted; SIGTERM terminates the JVM without further action.
     */
    static void awaitTermination() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
