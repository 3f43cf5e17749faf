package org.oleanderspring.daemon.cli;

import java.net.URI;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.daemon.process.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The flags of subcommands that talk to a daemon. */
public final class DaemonFlags {
    @Spec(Spec.Target.MIXEE)
    private CommandSpec mSpec;

    @Option(
            names = "--daemon",
            paramLabel = "URL",
            required = true,
            description =
                    "HTTP address of a daemon: its operator port, or its caller port for"
                            + " entry.")
    private String mDaemon;

    @Option(
            names = "--output",
            paramLabel = "FORMAT",
            defaultValue = "text",
            description = "text or json.")
    private OutputFormat mOutput;

    /** Created by the command line parser, which sets the fields. */
    @SuppressWarnings("NullAway.Init")
    public DaemonFlags() {}

    /** Returns how to print the result. */
    public OutputFormat output() {
        return mOutput;
    }

    /** Returns the checked address of the daemon. */
    public URI daemon() {
        return HttpAddress.parse(mSpec, "--daemon", mDaemon);
    }

    /**
     * Runs a subcommand against the daemon and prints what went wrong.
     *
     * @param action the subcommand
     * @return the exit code
     */
    public int run(Action action) throws Exception {
        try (DaemonClient client = new DaemonClient(daemon())) {
            DaemonClient.Answer answer = action.ask(client);
            if (answer instanceof DaemonClient.Answer.Unreachable unreachable) {
                printError(ErrorMessage.DAEMON_UNREACHABLE.format(mDaemon, unreachable.reason()));
                return ExitCode.UNREACHABLE;
            }
            DaemonClient.Answer.Document document = (DaemonClient.Answer.Document) answer;
            if (!document.isSuccess()) {
                printError(document.message());
                return ExitCode.REFUSED;
            }
            String text =
                    mOutput == OutputFormat.JSON
                            ? document.body().toPrettyString()
                            : action.describe(document.body());
            mSpec.commandLine().getOut().println(text);
            return ExitCode.SUCCESS;
        }
    }

    private void printError(@Nullable String text) {
        mSpec.commandLine().getErr().println(text);
    }

    /** What a subcommand asks and how it shows the answer. */
    public interface Action {
        /**
         * Asks the daemon.
         *
         * @param client the client
         * @return the answer
         */
        DaemonClient.Answer ask(DaemonClient client);

        /**
         * Describes the answer for people.
         *
         * @param body the document
         * @return some lines
         */
        String describe(com.fasterxml.jackson.databind.JsonNode body);
    }

    /** Parses addresses in flags. */
    public static final class HttpAddress {
        private HttpAddress() {}

        /**
         * Parses an HTTP address.
         *
         * @param spec the command
         * @param flag the flag
         * @param value its value
         * @return the address
         */
        public static URI parse(CommandSpec spec, String flag, String value) {
            try {
                URI address = URI.create(value);
                if ("http".equals(address.getScheme())
                        && address.getHost() != null
                        && address.getPort() > 0) {
                    return address;
                }
            } catch (IllegalArgumentException malformed) {
                // Reported below, with the same text as any other invalid address.
            }
            throw new ParameterException(
                    spec.commandLine(),
                    ErrorMessage.BAD_FLAG.format(flag, value, "http://IP:PORT"));
        }
    }
}
