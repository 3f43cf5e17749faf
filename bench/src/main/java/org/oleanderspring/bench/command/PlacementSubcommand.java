package org.oleanderspring.bench.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.bench.query.PlacementCost;
import org.oleanderspring.bench.query.PlanSize;
import org.oleanderspring.bench.query.TextTable;
import org.oleanderspring.core.placement.Plan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the cost of placement decisions for cells of increasing size. */
@Command(
        name = "placement",
        mixinStandardHelpOptions = true,
        description =
                "Measures the elapsed time and allocated bytes of placement decisions, and the size"
                        + " of a plan.")
public final class PlacementSubcommand implements Callable<Integer> {
    @Option(
            names = "--runners",
            split = ",",
            description = "Numbers of runners in the cell (default: ${DEFAULT-VALUE}).")
    private List<Integer> mRunnerCounts = List.of(13, 139, 556, 2500, 10_000);

    @Option(names = "--csv", description = "File to which the table is written as CSV.")
    private @Nullable Path mCsv;

    @Override
    public Integer call() throws IOException {
        TextTable table =
                new TextTable(
                        "runners",
                        "slots",
                        "plan content bytes",
                        "event",
                        "median us",
                        "bytes/decision");
        for (int runners : mRunnerCounts) {
            addRows(table, new PlacementFleet(runners));
        }
        System.out.print(table.text());
        if (mCsv != null) {
            Files.writeString(mCsv, table.csv());
        }
        return 0;
    }

    private static void addRows(TextTable table, PlacementFleet fleet) {
        Plan plan = fleet.plan(Instant.EPOCH);
        for (PlacementCost cost : new PlacementMeasurement(fleet).measure()) {
            table.addRow(
                    Integer.toString(fleet.runners()),
                    Integer.toString(plan.slots().size()),
                    Long.toString(PlanSize.contentBytes(plan)),
                    cost.event(),
                    String.format(Locale.ROOT, "%.1f", cost.medianMicros()),
                    String.format(Locale.ROOT, "%.0f", cost.bytesPerDecision()));
        }
    }
}
