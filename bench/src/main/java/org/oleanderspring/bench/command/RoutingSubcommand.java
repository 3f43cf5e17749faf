package org.oleanderspring.bench.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.bench.query.RoutingCost;
import org.oleanderspring.bench.query.TextTable;
import org.oleanderspring.core.routing.command.EndpointSelector;
import org.oleanderspring.core.routing.command.LeastLoadedSelector;
import org.oleanderspring.core.routing.command.PowerOfTwoSelector;
import org.oleanderspring.core.routing.command.PrefixAffinitySelector;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the time and memory of routing decisions for increasing sizes. The column "growing" says
 * what grows: the runners of a fleet with many targets, the replicas of one target, the targets of
 * one fleet, or the queue of a fleet whose runners are all busy.
 */
@Command(
        name = "routing",
        mixinStandardHelpOptions = true,
        description = "Measures routing decisions on one thread for increasing sizes.")
public final class RoutingSubcommand implements Callable<Integer> {
    private static final int MODELS = 63;
    private static final int ADAPTERS = 2_700;
    private static final int RUNNERS = 10_000;

    /** The concurrency of a runner at which no call has to wait. */
    private static final int AMPLE_CONCURRENCY = 1_000;

    private static final int OPEN_CALLS = 64;
    private static final long SEED = 1;

    /** The numbers of runners, and of queued calls, that are measured. */
    private static final List<Integer> SIZES = List.of(100, 1_000, RUNNERS);

    private static final List<String> SELECTORS =
            List.of("least-loaded", "power-of-two", "prefix-affinity");

    @Option(names = "--steps", description = "Calls per round (default: ${DEFAULT-VALUE}).")
    private int mSteps = 5_000;

    @Option(names = "--csv", description = "File to which the table is written as CSV.")
    private @Nullable Path mCsv;

    @Override
    public Integer call() throws IOException {
        TextTable table =
                new TextTable(
                        "growing",
                        "selector",
                        "runners",
                        "targets",
                        "open calls",
                        "decisions/s",
                        "ns/decision",
                        "bytes/decision",
                        "table us",
                        "shared table us",
                        "state MB");
        for (String selector : SELECTORS) {
            for (int runners : SIZES) {
                addRow(table, "fleet", selector, fleet(runners, MODELS, ADAPTERS), OPEN_CALLS);
            }
            for (int runners : SIZES) {
                addRow(table, "replicas", selector, fleet(runners, 1, 0), OPEN_CALLS);
            }
        }
        for (int adapters : List.of(0, ADAPTERS / 10, ADAPTERS)) {
            addRow(table, "targets", "least-loaded", fleet(RUNNERS, MODELS, adapters), OPEN_CALLS);
        }
        for (int queued : SIZES) {
            RoutingFleet smallFleet = new RoutingFleet(8, 1, 0, 8);
            addRow(table, "queue", "least-loaded", smallFleet, OPEN_CALLS + queued);
        }
        System.out.print(table.text());
        if (mCsv != null) {
            Files.writeString(mCsv, table.csv());
        }
        return 0;
    }

    private void addRow(
            TextTable table, String growing, String selector, RoutingFleet fleet, int openCalls) {
        RoutingCost cost =
                new RoutingMeasurement(mSteps).measure(selector(selector), fleet, openCalls);
        table.addRow(
                growing,
                selector,
                Integer.toString(fleet.runners()),
                Integer.toString(fleet.models() + fleet.adapters()),
                Integer.toString(openCalls),
                format(cost.decisionsPerSecond()),
                format(1e9 / cost.decisionsPerSecond()),
                format(cost.bytesPerDecision()),
                format(cost.tableChangeMicros()),
                format(cost.sharedTableChangeMicros()),
                String.format(Locale.ROOT, "%.1f", cost.heapMegabytes()));
    }

    private static RoutingFleet fleet(int runners, int models, int adapters) {
        return new RoutingFleet(runners, models, adapters, AMPLE_CONCURRENCY);
    }

    private static Supplier<EndpointSelector> selector(String name) {
        return switch (name) {
            case "power-of-two" ->
                    () ->
                            new PowerOfTwoSelector(
                                    new SplittableRandom(SEED), new LeastLoadedSelector(SEED));
            case "prefix-affinity" -> () -> new PrefixAffinitySelector(new LeastLoadedSelector(0));
            default -> () -> new LeastLoadedSelector(SEED);
        };
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.0f", value);
    }
}
