package org.oleanderspring.bench;

import org.oleanderspring.bench.command.ColdStartSubcommand;
import org.oleanderspring.bench.command.OverloadSubcommand;
import org.oleanderspring.bench.command.PlacementSubcommand;
import org.oleanderspring.bench.command.RoutingSubcommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program that measures the decision core. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures the decision core with a virtual clock.",
        subcommands = {
            RoutingSubcommand.class,
            OverloadSubcommand.class,
            ColdStartSubcommand.class,
            PlacementSubcommand.class,
            ControlSubcommand.class
        })
public final class BenchTool {
    private BenchTool() {}

    /**
     * Runs a subcommand.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new BenchTool()).execute(arguments));
    }
}
