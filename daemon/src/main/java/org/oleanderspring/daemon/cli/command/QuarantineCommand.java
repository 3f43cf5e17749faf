package org.oleanderspring.daemon.cli.command;

import org.oleanderspring.daemon.cli.query.QuarantineListCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The parent of the subcommands for the quarantine of prompts. */
@Command(
        name = "quarantine",
        mixinStandardHelpOptions = true,
        description = "Shows and withdraws prompts that are kept away from runners.",
        subcommands = {QuarantineListCommand.class, QuarantineWithdrawCommand.class})
public final class QuarantineCommand implements Runnable {
    @Spec private CommandSpec mSpec;

    /** Created by picocli, which sets the specification. */
    @SuppressWarnings("NullAway.Init")
    public QuarantineCommand() {}

    @Override
    public void run() {
        throw new ParameterException(
                mSpec.commandLine(), "a subcommand is missing; try quarantine --help");
    }
}
