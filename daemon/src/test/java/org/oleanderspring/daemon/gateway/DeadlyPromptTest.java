package org.oleanderspring.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderspring.daemon.Oleanderspring;
import org.oleanderspring.standin.hosted.HostedRunnerStandin;

/** Runs daemons in front of runners that crash when they answer a certain part of a prompt. */
class DeadlyPromptTest {
    private static final int DAEMONS = 3;
    private static final int RUNNERS = 14;
    private static final int REQUESTS = 24;

    /** The number of crashes after which no more requests with the part may reach runners. */
    private static final int CRASHES_ALLOWED = 8;

    private static final long PAUSE_MILLIS = 250;

    private final List<HostedRunnerStandin> mRunners = new ArrayList<>();

    @SuppressWarnings("NullAway.Init")
    private GatewayFixture mFixture;

    @BeforeEach
    void start() throws Exception {
        mFixture = new GatewayFixture(DAEMONS);
        mFixture.configure(1, "ledger");
        for (int index = 0; index < RUNNERS; index++) {
            HostedRunnerStandin runner = mFixture.addRunner("i-" + index, "engine", "m1");
            runner.crashOnPart("dead");
            mRunners.add(runner);
        }
        mFixture.awaitReady();
    }

    @AfterEach
    void stop() {
        mFixture.close();
    }

    private int crashed() {
        return (int) mRunners.stream().filter(HostedRunnerStandin::hasCrashed).count();
    }

    private int status(int daemon, String id, String parts) {
        try {
            HttpResponse<String> response =
                    mFixture.stream(daemon, id, "m1", parts).get(15, TimeUnit.SECONDS);
            return response.statusCode();
        } catch (Exception brokenOff) {
            return -1;
        }
    }

    /**
     * Guards against a prompt part that crashes one runner after the other, because each daemon
     * sends the next request with it to another runner.
     */
    @Test
    void requestsWithADeadlyPartStopReachingRunners() throws Exception {
        for (int request = 0; request < REQUESTS; request++) {
            status(request % DAEMONS, "d" + request, "first,dead,own" + request);
            Thread.sleep(PAUSE_MILLIS);
        }
        assertThat(crashed(), is(lessThanOrEqualTo(CRASHES_ALLOWED)));
        assertThat(status(0, "s1", "first,other,own"), is(200));
    }

    /** Lets runners crash until the daemons refuse the part. */
    private void quarantineDeadlyPart() {
        AtomicInteger request = new AtomicInteger();
        GatewayFixture.await(
                "all daemons refuse the part",
                () -> {
                    int number = request.incrementAndGet();
                    boolean refused = true;
                    for (int daemon = 0; daemon < DAEMONS; daemon++) {
                        String name = number + "-" + daemon;
                        refused &= status(daemon, "q" + name, "first,dead,own" + name) == 400;
                    }
                    return refused;
                });
    }

    /** Guards against a daemon that starts after the decision and sends such a request. */
    @Test
    void daemonThatStartsLaterRefusesTheDeadlyPart() {
        quarantineDeadlyPart();
        GatewayFixture.await(
                "the decision is stored",
                () -> mFixture.store().text("oleanderspring/quarantine").contains("dead"));
        int crashed = crashed();
        mFixture.kill(2);
        mFixture.restart(2);
        mFixture.awaitReady();
        assertThat(status(2, "late", "first,dead,ownlate"), is(400));
        assertThat(crashed(), is(crashed));
    }

    /** Guards against decisions that operators can neither see nor clear. */
    @Test
    void operatorListsAndWithdrawsADecision() {
        quarantineDeadlyPart();
        GatewayFixture.await(
                "the decision is stored",
                () -> mFixture.store().text("oleanderspring/quarantine").contains("dead"));
        String listed = run("quarantine", "list");
        assertThat(listed, containsString("refused"));
        assertThat(listed, containsString("runners=i-"));
        String id = listed.substring(0, listed.indexOf(' '));
        assertThat(mFixture.metrics(0), containsString("gateway_quarantined_" + id + "_count"));
        assertThat(run("quarantine", "withdraw", id), containsString("withdrawn"));
        GatewayFixture.await(
                "requests with the part are let through",
                () -> status(1, "w", "first,dead,ownw") != 400);
    }

    private String run(String command, String subcommand, String... arguments) {
        List<String> all = new ArrayList<>(List.of(command, subcommand));
        all.add("--store=" + GatewayFixture.IP + ":" + mFixture.store().port());
        all.addAll(List.of(arguments));
        StringWriter output = new StringWriter();
        Oleanderspring.commandLine()
                .setOut(new PrintWriter(output))
                .execute(all.toArray(new String[0]));
        return output.toString();
    }
}
