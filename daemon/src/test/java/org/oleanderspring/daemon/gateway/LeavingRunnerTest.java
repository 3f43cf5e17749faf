package org.oleanderspring.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderspring.standin.hosted.HostedRunnerStandin;

/**
 * Guards against requests that reach a runner although it has said in a response that it leaves,
 * and the key-value service does not say so.
 */
class LeavingRunnerTest {
    private static final int FURTHER_REQUESTS = 20;

    private GatewayFixture mFixture;

    @BeforeEach
    void start() throws IOException {
        mFixture = new GatewayFixture(2);
        mFixture.configure(1, "ledger");
    }

    @AfterEach
    void close() {
        mFixture.close();
    }

    @Test
    void plainRunnerGetsNoFurtherRequests() {
        HostedRunnerStandin leaving = mFixture.addRunner("i-1", "ledger");
        mFixture.addRunner("i-2", "ledger");
        mFixture.awaitReady();
        leaving.leave();
        awaitResponseOf(leaving);
        int before = leaving.executedAttempts().size();
        sendFurtherRequests();
        // The registry still calls the runner ready, and lists it anew.
        mFixture.store().put("servers/i-1", leaving.registryEntry(GatewayFixture.IP, "ready"));
        mFixture.store().compact();
        mFixture.addRunner("i-3", "ledger");
        sendFurtherRequests();
        assertThat(leaving.executedAttempts().size(), is(before));
        assertThat(mFixture.metrics(), containsString("gateway_runners_leaving_count 1"));
    }

    /** The other daemon learns it too, without a response of its own. */
    @Test
    void otherDaemonSendsNoRequestsEither() {
        HostedRunnerStandin leaving = mFixture.addRunner("i-1", "ledger");
        mFixture.addRunner("i-2", "ledger");
        mFixture.awaitReady();
        leaving.leave();
        awaitResponseOf(leaving);
        GatewayFixture.await(
                "the other daemon knows",
                () -> mFixture.metrics(1).contains("gateway_runners_leaving_count 1"));
    }

    /** The holder of the placement does not count the model of the runner as loaded any more. */
    @Test
    void modelOfTheRunnerIsLoadedElsewhere() throws Exception {
        HostedRunnerStandin leaving = mFixture.addRunner("i-1", "engine", "m1");
        HostedRunnerStandin other = mFixture.addRunner("i-2", "engine", "m2");
        mFixture.awaitReady();
        leaving.leave();
        assertThat(stream("c1").statusCode(), is(200));
        int before = leaving.executedAttempts().size();
        assertThat(stream("c2").statusCode(), is(200));
        assertThat(leaving.executedAttempts().size(), is(before));
        assertThat(other.executedAttempts().size(), greaterThan(0));
    }

    private HttpResponse<String> stream(String id) throws Exception {
        return mFixture.stream(id, "m1").get(15, TimeUnit.SECONDS);
    }

    private void awaitResponseOf(HostedRunnerStandin runner) {
        int before = runner.executedAttempts().size();
        GatewayFixture.await(
                "the runner has answered",
                () -> {
                    mFixture.order("first");
                    return runner.executedAttempts().size() > before;
                });
    }

    private void sendFurtherRequests() {
        for (int number = 0; number < FURTHER_REQUESTS; number++) {
            assertThat(mFixture.order("further").statusCode(), is(200));
        }
    }
}
