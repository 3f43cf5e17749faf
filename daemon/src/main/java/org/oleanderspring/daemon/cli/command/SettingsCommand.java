package org.oleanderspring.daemon.cli.command;

import org.oleanderspring.daemon.cli.query.SettingsCheckCommand;
import org.oleanderspring.daemon.cli.query.SettingsHistoryCommand;
import org.oleanderspring.daemon.cli.query.SettingsShowCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The parent of the subcommands for the operators' settings. */
@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        description = "Shows, checks and applies the operators' settings.",
        subcommands = {
            SettingsShowCommand.class,
            SettingsCheckCommand.class,
            SettingsApplyCommand.class,
            SettingsHistoryCommand.class
        })
public final class SettingsCommand implements Runnable {
    @Spec private CommandSpec mSpec;

    /** Created by picocli, which sets the specification. */
    @SuppressWarnings("NullAway.Init")
    public SettingsCommand() {}

    @Override
    public void run() {
        throw new ParameterException(
                mSpec.commandLine(), "a subcommand is missing; try settings --help");
    }
}
