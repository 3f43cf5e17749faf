package org.oleanderspring.bench.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.bench.query.ColdStartResult;
import org.oleanderspring.bench.query.TextTable;
import org.oleanderspring.core.fleet.Checkpoint;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Compares placement policies by the latency of cold starts and the idle time of accelerators.
 * Below the table it prints each learned keep-alive that is worse than a policy with a fixed one on
 * p95 wait, p99 wait and idle hours at once.
 */
@Command(
        name = "cold-start",
        mixinStandardHelpOptions = true,
        description = "Compares policies for keep-alive, load order and replicas per activation.")
public final class ColdStartSubcommand implements Callable<Integer> {
    @Option(names = "--days", description = "Days of the trace (default: ${DEFAULT-VALUE}).")
    private int mDays = 12;

    @Option(names = "--seed", description = "Random seed of the trace (default: ${DEFAULT-VALUE}).")
    private long mSeed = 1;

    @Option(names = "--csv", description = "File to which the table is written as CSV.")
    private @Nullable Path mCsv;

    @Override
    public Integer call() throws IOException {
        TextTable table =
                new TextTable(
                        "deployment",
                        "policy",
                        "offered",
                        "useful%",
                        "cold%",
                        "cold p50 ms",
                        "cold p95 ms",
                        "cold p99 ms",
                        "all p95 ms",
                        "all p99 ms",
                        "estimate%",
                        "deadline%",
                        "no_memory%",
                        "limit%",
                        "store loads",
                        "idle acc h");
        List<String> comparisons = new ArrayList<>();
        for (ColdStartDeployment deployment : ColdStartDeployment.all()) {
            run(deployment, table, comparisons);
        }
        System.out.print(table.text());
        comparisons.forEach(System.out::println);
        if (mCsv != null) {
            Files.writeString(mCsv, table.csv());
        }
        return 0;
    }

    private void run(ColdStartDeployment deployment, TextTable table, List<String> comparisons) {
        List<Checkpoint> catalogue = deployment.catalogue(mSeed);
        List<ColdStartCall> calls =
                new ColdStartTraceGenerator(deployment, mSeed).generate(catalogue, mDays);
        List<ColdStartResult> fixed = new ArrayList<>();
        List<ColdStartResult> learned = new ArrayList<>();
        for (ColdStartPolicy policy : ColdStartPolicy.all()) {
            ColdStartResult result =
                    new ColdStartSimulation(deployment, catalogue, policy).run(calls, mDays);
            (policy.isLearned() ? learned : fixed).add(result);
            addRow(table, deployment, result);
        }
        comparisons.addAll(compare(deployment, learned, fixed));
    }

    private static List<String> compare(
            ColdStartDeployment deployment,
            List<ColdStartResult> learned,
            List<ColdStartResult> fixed) {
        List<String> lines = new ArrayList<>();
        for (ColdStartResult result : learned) {
            for (ColdStartResult other : fixed) {
                if (result.isStrictlyDominatedBy(other)) {
                    lines.add(
                            deployment.name()
                                    + ": "
                                    + result.policy()
                                    + " is worse than "
                                    + other.policy()
                                    + " on p95 and p99 wait and on idle hours");
                }
            }
        }
        if (lines.isEmpty()) {
            lines.add(
                    deployment.name()
                            + ": no learned policy is worse than a fixed one on p95 and p99 wait"
                            + " and on idle hours");
        }
        return lines;
    }

    private static void addRow(
            TextTable table, ColdStartDeployment deployment, ColdStartResult result) {
        table.addRow(
                deployment.name(),
                result.policy(),
                Long.toString(result.offered()),
                percent(100.0 * result.useful() / result.offered()),
                percent(100.0 * result.cold() / result.offered()),
                Long.toString(result.coldWait().p50()),
                Long.toString(result.coldWait().p95()),
                Long.toString(result.coldWait().p99()),
                Long.toString(result.allWait().p95()),
                Long.toString(result.allWait().p99()),
                percent(result.refusedPercent("estimate")),
                percent(result.refusedPercent("deadline")),
                percent(result.refusedPercent("no_memory")),
                percent(result.refusedPercent("replica_limit")),
                Long.toString(result.remoteLoads()),
                String.format(Locale.ROOT, "%.1f", result.idleHours()));
    }

    private static String percent(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
