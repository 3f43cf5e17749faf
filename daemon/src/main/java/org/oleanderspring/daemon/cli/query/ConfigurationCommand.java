package org.oleanderspring.daemon.cli.query;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The parent of the subcommands for the configuration of a hosted fleet. */
@Command(
        name = "configuration",
        mixinStandardHelpOptions = true,
        description = "Checks the configuration of a hosted fleet before it is sent.",
        subcommands = {ConfigurationCheckCommand.class})
public final class ConfigurationCommand implements Runnable {
    @Spec private CommandSpec mSpec;

    /** Created by picocli, which sets the specification. */
    @SuppressWarnings("NullAway.Init")
    public ConfigurationCommand() {}

    @Override
    public void run() {
        throw new ParameterException(
                mSpec.commandLine(), "a subcommand is missing; try configuration --help");
    }
}
