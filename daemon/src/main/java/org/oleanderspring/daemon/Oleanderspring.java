package org.oleanderspring.daemon;

import org.oleanderspring.daemon.cli.command.GatewayCommand;
import org.oleanderspring.daemon.cli.command.QuarantineCommand;
import org.oleanderspring.daemon.cli.command.ServeCommand;
import org.oleanderspring.daemon.cli.command.SettingsCommand;
import org.oleanderspring.daemon.cli.query.ConfigurationCommand;
import org.oleanderspring.daemon.cli.query.EntryCommand;
import org.oleanderspring.daemon.cli.query.StatusCommand;
import org.oleanderspring.daemon.process.EnvironmentDefaults;
import org.oleanderspring.daemon.process.ExitCode;
import org.oleanderspring.daemon.process.LogFormat;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The main class: parses the command line and runs a subcommand. */
@Command(
        name = "oleanderspring",
        mixinStandardHelpOptions = true,
        version = "oleanderspring 0.1.0",
        description = "Serves a large fleet of rarely used models.",
        subcommands = {
            ServeCommand.class,
            GatewayCommand.class,
            QuarantineCommand.class,
            SettingsCommand.class,
            ConfigurationCommand.class,
            StatusCommand.class,
            EntryCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:success",
            "1:the command failed while it ran",
            "2:a flag or environment variable is invalid",
            "3:the settings were refused or changed meanwhile",
            "4:the daemon could not be reached"
        })
public final class Oleanderspring implements Runnable {
    @Spec private CommandSpec mSpec;

    /** Created by picocli, which sets the specification. */
    @SuppressWarnings("NullAway.Init")
    public Oleanderspring() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        LogFormat.install();
        System.exit(commandLine().execute(arguments));
    }

    /**
     * Returns the command line parser. Invalid arguments end with one line on the standard error
     * output and {@link ExitCode#USAGE}.
     */
    public static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new Oleanderspring());
        commandLine.setDefaultValueProvider(new EnvironmentDefaults());
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setParameterExceptionHandler(
                (exception, arguments) -> {
                    exception.getCommandLine().getErr().println(exception.getMessage());
                    return ExitCode.USAGE;
                });
        return commandLine;
    }

    @Override
    public void run() {
        throw new ParameterException(
                mSpec.commandLine(), "a subcommand is missing; try oleanderspring --help");
    }
}
