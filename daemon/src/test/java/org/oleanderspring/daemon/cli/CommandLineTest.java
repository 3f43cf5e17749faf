package org.oleanderspring.daemon.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.daemon.Oleanderspring;
import org.oleanderspring.daemon.process.ExitCode;
import picocli.CommandLine;

class CommandLineTest {
    private static final List<String> VALID_SERVE_ARGUMENTS =
            List.of(
                    "serve",
                    "--failure-domain=north",
                    "--key-value-service=http://127.0.0.1:1",
                    "--vm-list=http://127.0.0.1:2",
                    "--weight-store=http://127.0.0.1:3");

    private final StringWriter mErrors = new StringWriter();

    /**
     * Checks that an invalid flag ends the command with the usage exit code and a message of one
     * line that states the flag or the allowed values. Guards against flags that are checked only
     * after ports are open.
     */
    @Test
    void invalidFlagsAreReportedWithAllowedValues() {
        checkRefused("--caller-port=0", "--caller-port has the invalid value \"0\"; allowed: 1 to");
        checkRefused("--peer-port=70000", "--peer-port has the invalid value \"70000\"");
        checkRefused(
                "--ip=north",
                "--ip has the invalid value \"north\"; allowed: a numeric IP address");
        checkRefused("--body-limit-bytes=-1", "--body-limit-bytes has the invalid value \"-1\"");
        checkRefused("--stop-limit-seconds=0", "allowed: 1 to 3600");
        checkRefused("--vm-list=ftp://127.0.0.1:2", "allowed: http://IP:PORT");
        checkRefused("--weight-store=http://127.0.0.1", "allowed: http://IP:PORT");
        checkRefused("--failure-domain= ", "--failure-domain");
        checkRefused("--no-such-flag=1", "--no-such-flag");
        checkRefused("--caller-port=many", "--caller-port");
    }

    /** Guards against a missing subcommand, address or file that causes a stack trace. */
    @Test
    void missingArgumentsAreUsageErrors() {
        assertThat(run(List.of()), is(ExitCode.USAGE));
        assertThat(run(List.of("serve")), is(ExitCode.USAGE));
        assertThat(run(List.of("settings")), is(ExitCode.USAGE));
        assertThat(run(List.of("status")), is(ExitCode.USAGE));
        assertThat(
                run(List.of("settings", "apply", "--daemon=http://127.0.0.1:1", "no-such-file")),
                is(ExitCode.USAGE));
    }

    /**
     * Guards against scripts that cannot tell an unreachable daemon from a refused command. Checks
     * also that the help and version flags succeed.
     */
    @Test
    void unreachableDaemonHasItsOwnExitCode() {
        assertThat(run(List.of("status", "--daemon=http://127.0.0.1:1")), is(ExitCode.UNREACHABLE));
        assertThat(run(List.of("--help")), is(ExitCode.SUCCESS));
        assertThat(run(List.of("--version")), is(ExitCode.SUCCESS));
    }

    private void checkRefused(String flag, String expected) {
        String name = flag.substring(0, flag.indexOf('='));
        List<String> arguments = new ArrayList<>(VALID_SERVE_ARGUMENTS);
        arguments.removeIf(argument -> argument.startsWith(name + "="));
        arguments.add(flag);
        mErrors.getBuffer().setLength(0);
        assertThat(flag, run(arguments), is(ExitCode.USAGE));
        String text = mErrors.toString().strip();
        assertThat(text, containsString(expected));
        assertThat(text, text.lines().count(), is(1L));
    }

    private int run(List<String> arguments) {
        CommandLine commandLine = Oleanderspring.commandLine();
        commandLine.setOut(new PrintWriter(new StringWriter()));
        commandLine.setErr(new PrintWriter(mErrors, true));
        return commandLine.execute(arguments.toArray(String[]::new));
    }
}
