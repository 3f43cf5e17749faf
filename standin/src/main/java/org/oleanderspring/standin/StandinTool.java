package org.oleanderspring.standin;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.oleanderspring.standin.load.command.LoadGeneratorCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command-line tool that runs the stand-ins. */
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
     * Runs a stand-in until the process is told to end.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new StandinTool()).execute(arguments));
    }

    static void printReady(String name, String ip, int port) {
        OUT.println("ready " + name + " " + ip + ":" + port);
        OUT.flush();
    }

    /** Waits until the process is told to end; SIGTERM ends the process by itself. */
    static void awaitTermination() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
