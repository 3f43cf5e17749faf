package org.oleanderspring.daemon.cli;

import java.io.PrintWriter;
import java.time.Instant;
import java.util.function.BiFunction;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.daemon.gateway.quarantine.AdministrationResult;
import org.oleanderspring.daemon.process.ExitCode;
import org.oleanderspring.platform.http.HttpClientOptions;
import org.oleanderspring.platform.http.SharedHttpClient;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The flags of the commands for the quarantine, and the output of their results. */
public final class QuarantineFlags {
    @Spec(Spec.Target.MIXEE)
    private CommandSpec mSpec;

    @Option(
            names = "--store",
            paramLabel = "IP:PORT",
            required = true,
            description = "Metadata store of the platform.")
    private String mStore;

    /** Created by picocli, which sets the fields. */
    @SuppressWarnings("NullAway.Init")
    public QuarantineFlags() {}

    /**
     * Runs an action and prints its result.
     *
     * @param action the action, with a client and the address of the key-value service
     * @return the exit code
     */
    public int run(BiFunction<SharedHttpClient, Address, AdministrationResult> action) {
        PrintWriter out = mSpec.commandLine().getOut();
        PrintWriter error = mSpec.commandLine().getErr();
        Address store = store();
        try (SharedHttpClient client = new SharedHttpClient(HttpClientOptions.DEFAULT)) {
            AdministrationResult result = action.apply(client, store);
            if (result instanceof AdministrationResult.Entries entries) {
                entries.entries().forEach(entry -> out.println(format(entry, Instant.now())));
                return ExitCode.SUCCESS;
            }
            if (result instanceof AdministrationResult.NotFound) {
                error.println(ErrorMessage.NOT_QUARANTINED.format());
                return ExitCode.REFUSED;
            }
            String reason = ((AdministrationResult.Unavailable) result).reason();
            error.println(ErrorMessage.STORE_UNAVAILABLE.format(mStore, reason));
            return ExitCode.UNREACHABLE;
        }
    }

    private Address store() {
        int separator = mStore.lastIndexOf(':');
        try {
            return new Address(
                    mStore.substring(0, Math.max(0, separator)),
                    Integer.parseInt(mStore.substring(separator + 1)));
        } catch (IllegalArgumentException invalid) {
            throw new ParameterException(
                    mSpec.commandLine(),
                    ErrorMessage.BAD_FLAG.format("--store", mStore, "IP:PORT"));
        }
    }

    private static String state(QuarantineEntry entry, Instant now) {
        if (entry.isWithdrawn()) {
            return "withdrawn";
        }
        if (!entry.isActive(now)) {
            return "ended";
        }
        return entry.isConfirmed() ? "refused" : "suspected";
    }

    private static String format(QuarantineEntry entry, Instant now) {
        return entry.pattern().id()
                + " "
                + state(entry, now)
                + " until="
                + entry.until()
                + " generation="
                + entry.generation()
                + " trials="
                + entry.trials()
                + " parts="
                + entry.pattern()
                + " runners="
                + String.join(",", entry.runners().stream().map(EndpointId::value).toList())
                + " requests="
                + String.join(",", entry.requests());
    }
}
