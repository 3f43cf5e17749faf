package org.oleanderspring.bench.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.bench.query.OverloadResult;
import org.oleanderspring.bench.query.TextTable;
import org.oleanderspring.core.routing.command.NoRetryPolicy;
import org.oleanderspring.core.routing.command.QueueUntilDeadlinePolicy;
import org.oleanderspring.core.routing.command.RefuseByEstimatePolicy;
import org.oleanderspring.core.routing.command.RefuseWhenBusyPolicy;
import org.oleanderspring.core.routing.command.RetryPolicy;
import org.oleanderspring.core.routing.command.SafeRetryPolicy;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Compares overload strategies under the same offered load. Each cell is the mean over the seeds;
 * "lowest" and "highest" are the extremes of "useful%".
 */
@Command(
        name = "overload",
        mixinStandardHelpOptions = true,
        description =
                "Compares waiting in a queue, early refusal and caller retries under overload.")
public final class OverloadSubcommand implements Callable<Integer> {
    private static final int MAX_CALLER_SENDS = 5;
    private static final RetryPolicy SAFE_RETRY = new SafeRetryPolicy();
    private static final List<OverloadStrategy> STRATEGIES =
            List.of(
                    new OverloadStrategy("wait", new QueueUntilDeadlinePolicy(), SAFE_RETRY, 1),
                    new OverloadStrategy("refuse", new RefuseByEstimatePolicy(), SAFE_RETRY, 1),
                    new OverloadStrategy(
                            "retry", new RefuseWhenBusyPolicy(), SAFE_RETRY, MAX_CALLER_SENDS));
    private static final OverloadStrategy WITHOUT_RETRY =
            new OverloadStrategy("refuse-1", new RefuseByEstimatePolicy(), new NoRetryPolicy(), 1);

    @Option(
            names = "--seeds",
            description = "Number of random seeds, starting at 1 (default: ${DEFAULT-VALUE}).")
    private int mSeedCount = 5;

    @Option(
            names = "--loads",
            split = ",",
            description = "Offered load as multiples of the capacity (default: ${DEFAULT-VALUE}).")
    private List<Double> mLoads = List.of(0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0);

    @Option(
            names = "--cold",
            description = "Load time of the model in ms; 0 if it is loaded at the start.")
    private long mColdMillis;

    @Option(
            names = "--refusing",
            description =
                    "Share of attempts that replicas refuse, 0 to 1; adds refuse-1, without retry.")
    private double mRefusedShare;

    @Option(names = "--csv", description = "File to which the table is written as CSV.")
    private @Nullable Path mCsv;

    @Override
    public Integer call() throws IOException {
        TextTable table =
                new TextTable(
                        "load",
                        "policy",
                        "useful%",
                        "lowest",
                        "highest",
                        "extra/100",
                        "wasted%",
                        "refusal ms",
                        "too_short%",
                        "passed%",
                        "overloaded%",
                        "queue_full%",
                        "exhausted%");
        for (double load : mLoads) {
            for (OverloadStrategy strategy : STRATEGIES) {
                addRow(table, load, strategy);
            }
            if (mRefusedShare > 0) {
                addRow(table, load, WITHOUT_RETRY);
            }
        }
        System.out.print(table.text());
        if (mCsv != null) {
            Files.writeString(mCsv, table.csv());
        }
        return 0;
    }

    private void addRow(TextTable table, double load, OverloadStrategy strategy) {
        List<OverloadResult> results = new ArrayList<>();
        for (int seed = 1; seed <= mSeedCount; seed++) {
            Duration loadTime = Duration.ofMillis(mColdMillis);
            OverloadScenario scenario = new OverloadScenario(load, loadTime, mRefusedShare, seed);
            results.add(new OverloadSimulation(scenario, strategy).run());
        }
        double lowest = results.stream().mapToDouble(OverloadResult::usefulPercent).min().orElse(0);
        double highest =
                results.stream().mapToDouble(OverloadResult::usefulPercent).max().orElse(0);
        table.addRow(
                String.format(Locale.ROOT, "%.1f", load),
                strategy.name(),
                mean(results, OverloadResult::usefulPercent),
                format(lowest),
                format(highest),
                mean(results, OverloadResult::extraPercent),
                mean(results, OverloadResult::wastedPercent),
                mean(results, OverloadResult::meanRefusalMillis),
                mean(results, result -> result.refusedPercent("deadline_too_short")),
                mean(results, result -> result.refusedPercent("deadline_passed")),
                mean(results, result -> result.refusedPercent("overloaded")),
                mean(results, result -> result.refusedPercent("queue_full")),
                mean(results, result -> result.refusedPercent("attempts_exhausted")));
    }

    private static String mean(
            List<OverloadResult> results, ToDoubleFunction<OverloadResult> value) {
        return format(results.stream().mapToDouble(value).average().orElse(0));
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
