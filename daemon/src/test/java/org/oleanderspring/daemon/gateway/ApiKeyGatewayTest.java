package org.oleanderspring.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.standin.hosted.HostedRunnerStandin;

/** Guards against keys that have no effect in a complete daemon, or reach a runner. */
class ApiKeyGatewayTest {
    private static final String KEYS = ",\"tenants\":[{\"name\":\"org-1\",\"apiKeys\":[%s]}]";

    @Test
    void keyIsCheckedAndItsRevocationApplied() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture()) {
            fixture.configure(1, "ledger", KEYS.formatted("\"k1\",\"k2\""));
            HostedRunnerStandin ledger = fixture.addRunner("i-1", "ledger");
            fixture.awaitReady();
            assertThat(fixture.order("c1").statusCode(), is(401));
            assertThat(fixture.orderWithKey("c2", "k3").statusCode(), is(401));
            assertThat(fixture.orderWithKey("c3", "k1").statusCode(), is(200));
            assertThat(ledger.executedAttempts(), is(List.of("c3")));
            assertThat(ledger.executedCallers(), is(List.of("org-1 key=null")));
            fixture.configure(2, "ledger", KEYS.formatted("\"k2\""));
            GatewayFixture.await(
                    "the key is taken away",
                    () -> fixture.orderWithKey("c4", "k1").statusCode() == 401);
            assertThat(fixture.orderWithKey("c5", "k2").statusCode(), is(200));
            assertThat(fixture.metrics(), containsString("gateway_refused_key_rejected_count"));
        }
    }
}
