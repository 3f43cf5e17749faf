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

/** Measures time and memory of routing decisions as the fleet grows. */
@Command(
        name = "routing",
        mixinStandardHelpOptions = true,
        description = "Measures routing decisions on one thread at growing sizes.")
public final class RoutingSubcommand implements Callable<Integer> {
    private static final int MODELS = 63;
    private static final int ADAPTERS = 2_700;
    private static final int RUNNERS = 10_000;
    private static final int SPACIOUS = 1_000;
    private static final int OPEN = 64;
    private static final long SEED = 1;
    private static final List<Integer> SIZES = List.of(100, 1_000, RUNNERS);
    private static final List<String> SELECTORS =
            List.of("least-loaded", "power-of-two", "prefix-affinity");

    @Option(names = "--steps", description = "Calls in a round (${DEFAULT-VALUE}).")
    private int mSteps = 5_000;

    @Option(names = "--csv", description = "File for the table as CSV.")
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
                addRow(table, "fleet", selector, fleet(runners, MODELS, ADAPTERS), OPEN);
            }
            for (int runners : SIZES) {
                addRow(table, "replicas", selector, fleet(runners, 1, 0), OPEN);
            }
        }
        for (int adapters : List.of(0, ADAPTERS / 10, ADAPTERS)) {
            addRow(table, "targets", "least-loaded", fleet(RUNNERS, MODELS, adapters), OPEN);
        }
        for (int queued : SIZES) {
            RoutingFleet small = new RoutingFleet(8, 1, 0, 8);
            addRow(table, "queue", "least-loaded", small, OPEN + queued);
        }
        System.out.print(table.text());
        if (mCsv != null) {
            Files.writeString(mCsv, table.csv());
        }
        return 0;
    }

    private void addRow(
            TextTable table, String growing, String selector, RoutingFleet fleet, int open) {
        RoutingCost cost = new RoutingMeasurement(mSteps).measure(selector(selector), fleet, open);
        table.add(
                growing,
                selector,
                Integer.toString(fleet.runners()),
                Integer.toString(fleet.models() + fleet.adapters()),
                Integer.toString(open),
                format(cost.decisionsPerSecond()),
                format(1e9 / cost.decisionsPerSecond()),
                format(cost.bytesPerDecision()),
                format(cost.tableMicros()),
                format(cost.sharedTableMicros()),
                String.format(Locale.ROOT, "%.1f", cost.stateMegabytes()));
    }

    private static RoutingFleet fleet(int runners, int models, int adapters) {
        return new RoutingFleet(runners, models, adapters, SPACIOUS);
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
