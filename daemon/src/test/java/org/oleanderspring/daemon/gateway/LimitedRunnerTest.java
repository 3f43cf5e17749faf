package org.oleanderspring.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderspring.standin.hosted.HostedRunnerStandin;

/**
 * Guards against daemons that send a runner more requests than the limit that it names in its
 * responses, and against requests that are lost because of it.
 */
class LimitedRunnerTest {
    private static final int DAEMONS = 2;
    private static final int REQUESTS = 60;
    private static final int UNAVAILABLE = 503;

    private GatewayFixture mFixture;

    @BeforeEach
    void start() throws IOException {
        mFixture = new GatewayFixture(DAEMONS);
        mFixture.configure(1, "ledger");
    }

    @AfterEach
    void close() {
        mFixture.close();
    }

    /** The requests go to the other runner, apart from those that the limit allows. */
    @Test
    void limitedRunnerGetsFewRequests() {
        HostedRunnerStandin limited = mFixture.addRunner("i-1", "ledger");
        mFixture.addRunner("i-2", "ledger");
        awaitServed();
        limited.limit("0.2");
        int before = limited.executedAttempts().size();
        long start = System.nanoTime();
        for (int request = 0; request < REQUESTS; request++) {
            assertThat(mFixture.order(request % DAEMONS, "c").statusCode(), is(200));
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        // Each daemon learns the limit by a request, and the first permit is granted at once.
        int allowed = DAEMONS + 1 + (int) Math.ceil(0.2 * seconds);
        assertThat(limited.executedAttempts().size() - before, lessThanOrEqualTo(allowed));
    }

    /**
     * A request that cannot have its turn in time is refused at once, with the time of its turn.
     */
    @Test
    void requestsBeyondTheLimitAreRefusedAtOnce() {
        HostedRunnerStandin limited = mFixture.addRunner("i-1", "engine", "m1");
        mFixture.awaitReady();
        limited.limit("1");
        GatewayFixture.await(
                "each daemon has asked the runner",
                () -> ask(0).join().statusCode() == 200 && ask(1).join().statusCode() == 200);
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int request = 0; request < REQUESTS; request++) {
            responses.add(ask(request));
        }
        HttpResponse<String> refused =
                responses.stream()
                        .map(CompletableFuture::join)
                        .filter(response -> response.statusCode() == UNAVAILABLE)
                        .findFirst()
                        .orElseThrow();
        assertThat(refused.headers().firstValue("Retry-After").isPresent(), is(true));
        assertThat(mFixture.metrics(), containsString("gateway_refused_rate_limited_count"));
        limited.limit(null);
        GatewayFixture.await(
                "all requests are served again",
                () -> ask(0).join().statusCode() == 200 && ask(1).join().statusCode() == 200);
    }

    /** A limit that cannot be read must not stop the requests. */
    @Test
    void unreadableLimitChangesNothing() {
        HostedRunnerStandin runner = mFixture.addRunner("i-1", "ledger");
        awaitServed();
        runner.limit("a few");
        for (int request = 0; request < REQUESTS; request++) {
            assertThat(mFixture.order(request % DAEMONS, "c").statusCode(), is(200));
        }
    }

    /** Waits until each daemon knows the runners of the plain service. */
    private void awaitServed() {
        mFixture.awaitReady();
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            int asked = daemon;
            GatewayFixture.await(
                    "requests are served",
                    () -> mFixture.order(asked, "first").statusCode() == 200);
        }
    }

    private CompletableFuture<HttpResponse<String>> ask(int request) {
        String name = "c" + request;
        return mFixture.stream(request % DAEMONS, name, "m1", "shared,own" + name);
    }
}
