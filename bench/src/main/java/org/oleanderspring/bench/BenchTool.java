package org.oleanderspring.bench;

import org.oleanderspring.bench.command.ColdStartSubcommand;
import org.oleanderspring.bench.command.OverloadSubcommand;
import org.oleanderspring.bench.command.PlacementSubcommand;
import org.oleanderspring.bench.command.RoutingSubcommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Main class of the benchmarks of the deciders; each subcommand is one benchmark. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures the deciders with a virtual clock.",
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
     * Runs a subcommand and exits with the code of picocli.
     *
     * @param arguments the command line arguments
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new BenchTool()).execute(arguments));
    }
}
