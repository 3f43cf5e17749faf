package org.oleanderspring.standin.load.command;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.standin.load.CallResult;
import org.oleanderspring.standin.load.CallResult.Ending;
import org.oleanderspring.standin.load.query.CallSummary;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Subcommand {@code load}: sends bursts of calls to the daemons that the entry directory of one
 * daemon lists, and prints a summary.
 *
 * <p>The exit status is 1 if the daemons are not ready in time, if a call is lost or gets the
 * response of another call, or if no call is served. Refused calls alone do not fail the run.
 */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Sends bursts of calls to the daemons of the entry directory.")
public final class LoadGeneratorCommand implements Callable<Integer> {
    private static final long READY_POLL_MILLIS = 200;

    @Spec private CommandSpec mSpec;

    @Option(names = "--entry", required = true, description = "caller address of a daemon, ip:port")
    private String mEntry;

    @Option(names = "--daemons", defaultValue = "1", description = "number of daemons to wait for")
    private int mDaemons;

    @Option(
            names = "--ready-seconds",
            defaultValue = "30",
            description = "time limit for the daemons to be ready")
    private int mReadySeconds;

    @Option(names = "--models", split = ",", defaultValue = "", description = "models to call")
    private List<String> mModels;

    @Option(names = "--services", split = ",", defaultValue = "", description = "services to call")
    private List<String> mServices;

    @Option(names = "--calls", defaultValue = "8", description = "calls per burst and target")
    private int mCalls;

    @Option(names = "--rounds", defaultValue = "2", description = "number of bursts")
    private int mRounds;

    @Option(names = "--deadline-ms", defaultValue = "20000", description = "deadline of a call")
    private long mDeadlineMillis;

    @Option(
            names = "--run",
            defaultValue = "1",
            description = "part of each idempotency key and prompt; use a new value for each run")
    private String mRun;

    /** Called by the command-line parser, which sets the option fields afterwards. */
    @SuppressWarnings("NullAway.Init")
    public LoadGeneratorCommand() {}

    @Override
    public Integer call() throws Exception {
        PrintWriter out = mSpec.commandLine().getOut();
        try (CallerClient client = new CallerClient(Duration.ofMillis(mDeadlineMillis))) {
            List<String> entries = awaitReady(client);
            if (entries.isEmpty()) {
                out.println(
                        "fewer than "
                                + mDaemons
                                + " daemons in the entry directory of "
                                + mEntry
                                + ", or one without models, after "
                                + mReadySeconds
                                + " s");
                return 1;
            }
            out.println("entries " + String.join(", ", entries));
            List<CallResult> results = new ArrayList<>();
            for (int round = 1; round <= mRounds; round++) {
                out.println("round " + round + (round == 1 ? ": cold starts" : ": warm"));
                out.flush();
                results.addAll(callModels(client, entries, round));
                results.addAll(sendOrders(client, entries, round));
            }
            CallSummary summary = new CallSummary(results);
            out.println(summary.describe());
            boolean failed = summary.count(Ending.LOST) + summary.count(Ending.WRONG) > 0;
            return failed || summary.count(Ending.SERVED) == 0 ? 1 : 0;
        }
    }

    private List<String> awaitReady(CallerClient client) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(mReadySeconds).toNanos();
        while (System.nanoTime() < end) {
            List<String> entries = client.entryAddresses(mEntry);
            boolean ready =
                    entries.size() >= mDaemons
                            && entries.stream().allMatch(entry -> client.modelCount(entry) > 0);
            if (ready) {
                return entries;
            }
            Thread.sleep(READY_POLL_MILLIS);
        }
        return List.of();
    }

    private List<CallResult> callModels(CallerClient client, List<String> entries, int round) {
        List<CompletableFuture<CallResult>> calls = new ArrayList<>();
        int number = 0;
        for (String model : mModels) {
            for (int call = 0; call < mCalls && !model.isBlank(); call++) {
                String entry = entries.get(number % entries.size());
                String marker = "word-" + mRun + "-" + round + "-" + number++ + "-end";
                calls.add(client.sendCompletion(entry, model, marker));
            }
        }
        return calls.stream().map(CompletableFuture::join).toList();
    }

    /** Sends each order to two daemons at the same time; at most one of the two may be executed. */
    private List<CallResult> sendOrders(CallerClient client, List<String> entries, int round) {
        List<CompletableFuture<CallResult>> calls = new ArrayList<>();
        int number = 0;
        for (String service : mServices) {
            for (int call = 0; call < mCalls && !service.isBlank(); call++) {
                String key = "order-" + mRun + "-" + round + "-" + number++ + "-end";
                calls.add(client.sendOrder(entries.get(number % entries.size()), service, key));
                calls.add(
                        client.sendOrder(entries.get((number + 1) % entries.size()), service, key));
            }
        }
        return calls.stream().map(CompletableFuture::join).toList();
    }
}
