package org.oleanderspring.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a configuration that comes into force late because a poll that began while the
 * key-value service was silent is waited for, although the service answers other calls again.
 */
class SilentStoreTest {
    private static final String RENEWAL = "/kv-keep/";
    private static final String POLL = "/kv-watch o";

    private GatewayFixture mFixture;

    @BeforeEach
    void start() throws IOException {
        mFixture = new GatewayFixture();
        mFixture.configure(1, "ledger");
        mFixture.addRunner("l1", "ledger");
        mFixture.addRunner("a1", "archive");
        mFixture.awaitReady();
    }

    @AfterEach
    void close() {
        mFixture.close();
    }

    /** The service returns just after a poll has begun, which is the longest it can last. */
    @Test
    void pollOfTheOutageIsGivenUpWhenARenewalIsAnswered() {
        mFixture.store().setSilent(true);
        GatewayFixture.await(
                "a renewal and then a poll without an answer",
                () -> indexOfRenewal(1) >= 0 && calls().lastIndexOf(POLL) > indexOfRenewal(1));
        mFixture.configure(2, "archive");
        mFixture.store().setSilent(false);
        GatewayFixture.await("two renewals", () -> indexOfRenewal(2) >= 0);
        List<String> untilSecondRenewal = calls().subList(0, indexOfRenewal(2));
        assertThat(untilSecondRenewal, hasItem(POLL));
        GatewayFixture.await(
                "the new configuration is in force",
                () -> mFixture.order("o1").body().contains("a1"));
        assertThat(mFixture.metrics(), containsString("store_configuration_age_ms"));
    }

    private List<String> calls() {
        return mFixture.store().calls();
    }

    private int indexOfRenewal(int number) {
        int renewals = 0;
        List<String> calls = calls();
        for (int index = 0; index < calls.size(); index++) {
            if (calls.get(index).startsWith(RENEWAL) && ++renewals == number) {
                return index;
            }
        }
        return -1;
    }
}
