package org.oleanderspring.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderspring.standin.hosted.HostedRunnerStandin;

/** Runs daemons in front of runners that end together by a cause outside of the prompts. */
class RunnerGroupCrashTest {
    private static final int DAEMONS = 2;
    private static final int RUNNERS = 4;
    private static final int USERS = 16;

    private final List<HostedRunnerStandin> mServing = new ArrayList<>();

    @SuppressWarnings("NullAway.Init")
    private GatewayFixture mFixture;

    @BeforeEach
    void start() throws Exception {
        mFixture = new GatewayFixture(DAEMONS);
        mFixture.configure(1, "ledger");
        for (int index = 0; index < RUNNERS; index++) {
            HostedRunnerStandin runner = mFixture.addRunner("i-" + index, "engine", "m1");
            runner.holdStreams();
            mServing.add(runner);
            mFixture.addRunner("spare-" + index, "engine");
        }
        mFixture.awaitReady();
    }

    @AfterEach
    void stop() {
        mFixture.close();
    }

    private List<CompletableFuture<HttpResponse<String>>> ask(String round) {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int user = 0; user < USERS; user++) {
            String name = round + user;
            // Calls with different prefixes go to different runners.
            String parts = "idle,topic" + user + ",own" + name;
            answers.add(mFixture.stream(user % DAEMONS, name, "m1", parts));
        }
        return answers;
    }

    private int executedAttempts() {
        return mServing.stream().mapToInt(runner -> runner.executedAttempts().size()).sum();
    }

    /** Returns the status of an answer, or 0 if it broke off. */
    private static int status(CompletableFuture<HttpResponse<String>> answer) {
        return answer.handle((response, failure) -> response == null ? 0 : response.statusCode())
                .completeOnTimeout(-1, 15, TimeUnit.SECONDS)
                .join();
    }

    /** Crashes the runner that holds the answer to the only open request. */
    private void crashHolder() {
        List<HostedRunnerStandin> holders = new ArrayList<>();
        GatewayFixture.await(
                "a runner has begun an answer",
                () -> {
                    mServing.stream()
                            .filter(runner -> !runner.hasCrashed() && runner.heldStreams() > 0)
                            .forEach(holders::add);
                    return !holders.isEmpty();
                });
        holders.get(0).crash();
        mFixture.store().remove("servers/i-" + mServing.indexOf(holders.get(0)));
    }

    /**
     * Guards against a wrong decision that never proves wrong, because it refuses all requests that
     * could show it. The runners crash one after the other, so the application is suspected.
     */
    @Test
    void wronglySuspectedApplicationIsServedAgain() {
        // The daemon sends the request to three runners, one after the other.
        mFixture.stream(0, "first", "m1", "idle,ownfirst");
        for (int crash = 0; crash < 3; crash++) {
            crashHolder();
        }
        mFixture.stream(0, "second", "m1", "idle,ownsecond");
        crashHolder();
        GatewayFixture.await(
                "the application is suspected",
                () -> mFixture.metrics().contains("quarantine_patterns_suspected 1"));
        AtomicInteger next = new AtomicInteger();
        List<Integer> statuses = new ArrayList<>();
        GatewayFixture.await(
                "the application is served again",
                () -> {
                    String name = "n" + next.incrementAndGet();
                    int status =
                            status(
                                    mFixture.stream(
                                            next.get() % DAEMONS, name, "m1", "idle,own" + name));
                    statuses.add(status);
                    return status == 200;
                });
        assertThat(statuses.stream().filter(status -> status == 400).toList(), is(empty()));
    }

    /**
     * Guards against the refusal of an application's requests for minutes, because all runners that
     * served it ended at the same moment before one of its requests was answered.
     */
    @Test
    void applicationIsServedAfterItsRunnersEndedTogether() {
        List<CompletableFuture<HttpResponse<String>>> first = ask("a");
        GatewayFixture.await(
                "each runner has begun an answer, and no request is on its way",
                () ->
                        mServing.stream().allMatch(runner -> !runner.executedAttempts().isEmpty())
                                && executedAttempts() == USERS);
        // A request that is sent again must not reach a runner that ends some milliseconds later.
        mServing.forEach(HostedRunnerStandin::closePort);
        mServing.parallelStream().forEach(HostedRunnerStandin::crash);
        List<Integer> statuses = new ArrayList<>();
        first.forEach(answer -> statuses.add(status(answer)));
        for (int index = 0; index < RUNNERS; index++) {
            mFixture.store().remove("servers/i-" + index);
        }
        for (int round = 0; round < 5; round++) {
            ask("b" + round).forEach(answer -> statuses.add(status(answer)));
        }
        assertThat(statuses.stream().filter(status -> status == 400).toList(), is(empty()));
        assertThat(statuses.stream().filter(status -> status == 200).toList(), is(not(empty())));
    }
}
