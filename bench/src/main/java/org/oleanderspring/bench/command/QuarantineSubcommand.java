package org.oleanderspring.bench.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.oleanderspring.bench.query.QuarantineResult;
import org.oleanderspring.bench.query.TextTable;
import org.oleanderspring.core.quarantine.QuarantineLimits;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures both error rates of the quarantine of prompts. */
@Command(
        name = "quarantine",
        mixinStandardHelpOptions = true,
        description =
                "Simulates runners that crash, with and without a deadly prompt part, and counts"
                        + " wrong refusals and refusals that come too late.")
public final class QuarantineSubcommand implements Callable<Integer> {
    private static final int RUNNERS = 13;

    /** Runners that four failure domains share evenly. */
    private static final int RUNNERS_IN_GROUPS = 16;

    private static final int ALLOWED_CALLS = 3;
    private static final int MAX_SEEDS = 4;

    @Option(names = "--runs", description = "Runs for each row (default: ${DEFAULT-VALUE}).")
    private int mRuns = 200;

    @Option(names = "--seed", description = "Seed of the first run (default: ${DEFAULT-VALUE}).")
    private long mSeed = 1;

    @Option(names = "--daemons", description = "Number of daemons (default: ${DEFAULT-VALUE}).")
    private int mDaemons = 4;

    @Option(
            names = "--calls-per-second",
            description = "Rate of calls (default: ${DEFAULT-VALUE}).")
    private double mCallsPerSecond = 25;

    @Option(names = "--seconds", description = "Length of a run (default: ${DEFAULT-VALUE}).")
    private int mSeconds = 60;

    @Option(
            names = "--crashes-required",
            split = ",",
            description = "Limits to compare (default: ${DEFAULT-VALUE}).")
    private List<Integer> mCrashesRequired = List.of(3, 4, 5);

    @Option(
            names = "--deadly-share",
            split = ",",
            description = "Shares of calls with a deadly part (default: ${DEFAULT-VALUE}).")
    private List<Double> mDeadlyShares = List.of(0.0, 0.01, 0.05, 0.2);

    @Option(
            names = "--other-crashes",
            split = ",",
            description = "Rates of unrelated crashes (default: ${DEFAULT-VALUE}).")
    private List<Double> mOtherCrashes = List.of(0.0, 0.1, 0.5);

    @Option(
            names = "--crash-groups",
            split = ",",
            description =
                    "Runners that end together while an idle application begins to ask (default:"
                            + " ${DEFAULT-VALUE}).")
    private List<CrashGroup> mCrashGroups =
            List.of(CrashGroup.ZONE, CrashGroup.MODEL, CrashGroup.FLEET, CrashGroup.ZONE_TWICE);

    @Override
    public Integer call() {
        TextTable table =
                new TextTable(
                        "crashes required",
                        "deadly share",
                        "other crashes/s",
                        "crash group",
                        "deadly crashes",
                        "other crashes",
                        "runs too late",
                        "runs with wrong pattern",
                        "sound calls refused",
                        "applications refused",
                        "first seeds with an error");
        for (int required : mCrashesRequired) {
            QuarantineLimits limits = new QuarantineLimits(required, required + 3);
            for (double deadlyShare : mDeadlyShares) {
                for (double otherCrashes : mOtherCrashes) {
                    if (deadlyShare + otherCrashes > 0) {
                        addRow(table, scenario(limits, deadlyShare, otherCrashes, CrashGroup.NONE));
                    }
                }
                for (CrashGroup group : mCrashGroups) {
                    addRow(table, scenario(limits, deadlyShare, 0, group));
                }
            }
        }
        System.out.print(table.text());
        return 0;
    }

    private QuarantineScenario scenario(
            QuarantineLimits limits,
            double deadlyShare,
            double otherCrashes,
            CrashGroup crashGroup) {
        return new QuarantineScenario(
                mDaemons,
                crashGroup == CrashGroup.NONE ? RUNNERS : RUNNERS_IN_GROUPS,
                mCallsPerSecond,
                deadlyShare,
                otherCrashes,
                crashGroup,
                0.03,
                Duration.ofSeconds(mSeconds),
                limits);
    }

    private void addRow(TextTable table, QuarantineScenario scenario) {
        List<QuarantineResult> results = new ArrayList<>();
        for (int run = 0; run < mRuns; run++) {
            results.add(new QuarantineSimulation(scenario, mSeed + run).run());
        }
        long late =
                results.stream()
                        .filter(result -> result.deadlyCallsAfterBound() > ALLOWED_CALLS)
                        .count();
        long wrong = results.stream().filter(result -> result.wrongPatterns() > 0).count();
        double refused = results.stream().mapToInt(QuarantineResult::soundCallsRefused).sum();
        double sound = results.stream().mapToInt(QuarantineResult::soundCalls).sum();
        table.addRow(
                Integer.toString(scenario.limits().crashesRequired()),
                Double.toString(scenario.deadlyShare()),
                Double.toString(scenario.otherCrashesPerSecond()),
                scenario.crashGroup().toString(),
                mean(results.stream().mapToInt(QuarantineResult::deadlyCrashes).sum()),
                mean(results.stream().mapToInt(QuarantineResult::otherCrashes).sum()),
                Long.toString(late),
                Long.toString(wrong),
                String.format(Locale.ROOT, "%.5f", refused / sound),
                results.stream().mapToInt(QuarantineResult::refusedApplications).sum()
                        + " of "
                        + results.stream().mapToInt(QuarantineResult::applications).sum(),
                seedsWithError(results));
    }

    private String seedsWithError(List<QuarantineResult> results) {
        return IntStream.range(0, results.size())
                .filter(
                        run ->
                                results.get(run).wrongPatterns() > 0
                                        || results.get(run).deadlyCallsAfterBound() > ALLOWED_CALLS)
                .limit(MAX_SEEDS)
                .mapToObj(run -> Long.toString(mSeed + run))
                .collect(Collectors.joining(" "));
    }

    private String mean(int sum) {
        return String.format(Locale.ROOT, "%.1f", (double) sum / mRuns);
    }
}
