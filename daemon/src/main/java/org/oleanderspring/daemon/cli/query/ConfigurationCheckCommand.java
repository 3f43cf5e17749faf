package org.oleanderspring.daemon.cli.query;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.message.Severity;
import org.oleanderspring.core.review.Finding;
import org.oleanderspring.core.review.query.ConfigurationDifference;
import org.oleanderspring.core.review.query.ConfigurationReview;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.daemon.cli.OutputFormat;
import org.oleanderspring.daemon.gateway.process.query.ConfigurationFile;
import org.oleanderspring.daemon.process.ExitCode;
import org.oleanderspring.platform.codec.JsonDocument;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Checks the file of a configuration without a daemon. It is read as a daemon reads it, so that
 * what this command accepts is what a daemon takes.
 */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Checks the configuration in a file: errors, entries that can never match, values"
                        + " that contradict each other, and what it changes.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:nothing was found",
            "1:there are warnings",
            "2:there are errors, or a file cannot be read"
        })
public final class ConfigurationCheckCommand implements Callable<Integer> {
    /** The exit code if there are warnings but no errors. */
    private static final int WARNINGS = ExitCode.FAILURE;

    /** The exit code if there are errors. */
    private static final int ERRORS = ExitCode.USAGE;

    @Spec private CommandSpec mSpec;

    @Parameters(paramLabel = "FILE", description = "The new configuration.")
    private Path mFile;

    @Option(
            names = "--against",
            paramLabel = "FILE",
            description = "The configuration in force, to show what changes.")
    private @Nullable Path mAgainst;

    @Option(names = "--format", description = "Output format: ${COMPLETION-CANDIDATES}.")
    private OutputFormat mFormat = OutputFormat.TEXT;

    /** Created by picocli, which sets the fields. */
    @SuppressWarnings("NullAway.Init")
    public ConfigurationCheckCommand() {}

    @Override
    public Integer call() {
        List<Finding> findings = new ArrayList<>();
        List<String> changes = List.of();
        FleetConfiguration next = read(mFile, findings);
        if (next != null) {
            findings.addAll(new ConfigurationReview().review(next));
        }
        FleetConfiguration inForce = mAgainst == null ? null : read(mAgainst, findings);
        if (next != null && inForce != null) {
            changes = ConfigurationDifference.between(inForce, next);
            checkVersion(inForce, next, findings);
        }
        print(findings, changes);
        return exitCode(findings);
    }

    private static void checkVersion(
            FleetConfiguration inForce, FleetConfiguration next, List<Finding> findings) {
        if (next.version() <= inForce.version()) {
            findings.add(
                    Finding.of(
                            ErrorMessage.VERSION_NOT_HIGHER,
                            "version " + next.version(),
                            Long.toString(inForce.version())));
        }
    }

    private @Nullable FleetConfiguration read(Path file, List<Finding> findings) {
        try {
            ConfigurationFile content = ConfigurationFile.read(file);
            if (content instanceof ConfigurationFile.Readable readable) {
                findings.addAll(readable.faults());
                return readable.configuration();
            }
            findings.add(((ConfigurationFile.Unusable) content).finding());
            return null;
        } catch (IOException unreadable) {
            throw new ParameterException(
                    mSpec.commandLine(),
                    ErrorMessage.BAD_FLAG.format("FILE", file.toString(), "a readable file"),
                    unreadable);
        }
    }

    private static int exitCode(List<Finding> findings) {
        int code = ExitCode.SUCCESS;
        for (Finding finding : findings) {
            boolean isError = finding.message().severity() == Severity.ERROR;
            code = Math.max(code, isError ? ERRORS : WARNINGS);
        }
        return code;
    }

    private void print(List<Finding> findings, List<String> changes) {
        PrintWriter out = mSpec.commandLine().getOut();
        if (mFormat == OutputFormat.JSON) {
            out.println(
                    new String(
                            JsonDocument.encode(json(findings, changes)), StandardCharsets.UTF_8));
            return;
        }
        for (Finding finding : findings) {
            out.println(
                    finding.message().severity().name().toLowerCase(Locale.ROOT)
                            + " "
                            + finding.message().number()
                            + ": "
                            + finding.text());
        }
        changes.forEach(change -> out.println("change: " + change));
    }

    private static ObjectNode json(List<Finding> findings, List<String> changes) {
        ObjectNode document = JsonDocument.object();
        ArrayNode list = document.putArray("findings");
        for (Finding finding : findings) {
            list.addObject()
                    .put("number", finding.message().number())
                    .put("severity", finding.message().severity().name())
                    .put("entry", finding.entry())
                    .put("text", finding.text());
        }
        ArrayNode changed = document.putArray("changes");
        changes.forEach(changed::add);
        return document;
    }
}
