package org.oleanderspring.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
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
}
