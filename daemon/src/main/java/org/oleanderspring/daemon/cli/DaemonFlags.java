package org.oleanderspring.daemon.cli;

import java.net.URI;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.daemon.process.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The common flags of subcommands that send a request to a daemon. */
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

    /** Created by picocli, which sets the fields. */
    @SuppressWarnings("NullAway.Init")
    public DaemonFlags() {}

    /** Returns the format in which the result is printed. */
    public OutputFormat output() {
        return mOutput;
    }

    /**
     * Returns the address of the daemon.
     *
     * @throws ParameterException if the flag is not a valid HTTP address
     */
    public URI daemon() {
        return HttpAddress.parse(mSpec, "--daemon", mDaemon);
    }

    /**
     * Sends the request of a subcommand and prints the response to the standard output, or an error
     * to the standard error output.
     *
     * @param action the subcommand
     * @return one of {@link ExitCode}
     */
    public int run(Action action) throws Exception {
        try (DaemonClient client = new DaemonClient(daemon())) {
            DaemonClient.Result result = action.send(client);
            if (result instanceof DaemonClient.Result.Unreachable unreachable) {
                printError(ErrorMessage.DAEMON_UNREACHABLE.format(mDaemon, unreachable.reason()));
                return ExitCode.UNREACHABLE;
            }
            DaemonClient.Result.Response response = (DaemonClient.Result.Response) result;
            if (!response.isSuccess()) {
                printError(response.message());
                return ExitCode.REFUSED;
            }
            String text =
                    mOutput == OutputFormat.JSON
                            ? response.body().toPrettyString()
                            : action.format(response.body());
            mSpec.commandLine().getOut().println(text);
            return ExitCode.SUCCESS;
        }
    }

    private void printError(@Nullable String text) {
        mSpec.commandLine().getErr().println(text);
    }

    /** The request of a subcommand and the text output of its response. */
    public interface Action {
        /**
         * Sends the request and waits for its result.
         *
         * @param client the client of the daemon
         * @return the result
         */
        DaemonClient.Result send(DaemonClient client);

        /**
         * Formats a successful response as text.
         *
         * @param body the body of the response
         * @return one or more lines, without a line break at the end
         */
        String format(com.fasterxml.jackson.databind.JsonNode body);
    }

    /** Parses HTTP addresses given as flags. */
    public static final class HttpAddress {
        private HttpAddress() {}

        /**
         * Parses an HTTP address with a host and a port.
         *
         * @param spec the command that has the flag
         * @param flag the flag with its dashes, for the error message
         * @param value the value of the flag
         * @return the address
         * @throws ParameterException if the value is not such an address
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
                // Falls through to the exception below, which is the same for all invalid
                // addresses.
            }
            throw new ParameterException(
                    spec.commandLine(),
                    ErrorMessage.BAD_FLAG.format(flag, value, "http://IP:PORT"));
        }
    }
}
