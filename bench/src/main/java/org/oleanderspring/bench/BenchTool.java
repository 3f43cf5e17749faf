package org.oleanderspring.bench;

import org.oleanderspring.bench.command.ColdStartSubcommand;
import org.oleanderspring.bench.command.KeysSubcommand;
import org.oleanderspring.bench.command.OverloadSubcommand;
import org.oleanderspring.bench.command.PlacementSubcommand;
import org.oleanderspring.bench.command.QuarantineSubcommand;
import org.oleanderspring.bench.command.RoutingSubcommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Main class of the benchmarks; each subcommand is one benchmark. {@link RecordThroughput} is not a
 * subcommand but has a main method of its own.
 */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures the deciders with a virtual clock.",
        subcommands = {
            RoutingSubcommand.class,
            OverloadSubcommand.class,
            ColdStartSubcommand.class,
            PlacementSubcommand.class,
            QuarantineSubcommand.class,
            KeysSubcommand.class,
            ControlSubcommand.class
        })
public final class BenchTool {
    private BenchTool() {}

    /**
     * Runs a subcommand and exits with code 0, or with 1 if it throws and 2 if the arguments are
     * invalid.
     *
     * @param arguments the command line arguments
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new BenchTool()).execute(arguments));
    }
}
