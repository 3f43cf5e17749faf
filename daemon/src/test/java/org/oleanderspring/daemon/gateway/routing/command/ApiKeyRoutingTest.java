package org.oleanderspring.daemon.gateway.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Clock;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.organisation.CallerIdentity;
import org.oleanderspring.core.organisation.OrganisationName;

/** Guards against requests that run without a valid key, and keys that outlive their revocation. */
class ApiKeyRoutingTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final String BOTH =
            ",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k1\"],\"priority\":3},"
                    + "{\"name\":\"b\",\"apiKeys\":[\"k2\"]}]";
    private static final String ONLY_B =
            ",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[]},"
                    + "{\"name\":\"b\",\"apiKeys\":[\"k2\"]}]";
    private static final String MOVED =
            ",\"tenants\":[{\"name\":\"b\",\"apiKeys\":[\"k1\",\"k2\"]}]";

    private final RoutingDutyFixture mFixture = new RoutingDutyFixture();

    @Test
    void keyDecidesOrganisationAndPriority() {
        mFixture.configure(2, BOTH);
        mFixture.stateLoaded();
        mFixture.request(1, "k1");
        mFixture.request(2, "k2");
        assertThat(
                mFixture.mSent.get(0).caller(),
                is(new CallerIdentity.Member(new OrganisationName("a"))));
        assertThat(mFixture.mSent.get(0).priority(), is(-3));
        assertThat(mFixture.mSent.get(1).priority(), is(-1));
    }

    @Test
    void missingAndUnknownKeysAreRefused() {
        mFixture.configure(2, BOTH);
        mFixture.stateLoaded();
        mFixture.request(1, () -> false);
        mFixture.request(2, "k3");
        assertThat(mFixture.mAnswers, contains("1 refused KEY_REJECTED", "2 refused KEY_REJECTED"));
        assertThat(mFixture.mSent, empty());
    }

    @Test
    void waitingRequestIsRefusedWhenItsKeyIsTakenAway() {
        mFixture.configure(2, BOTH);
        mFixture.request(1, "k1");
        mFixture.request(2, "k2");
        mFixture.configure(3, ONLY_B);
        mFixture.stateLoaded();
        assertThat(mFixture.mAnswers, contains("1 refused KEY_REJECTED"));
        assertThat(mFixture.mSent, hasSize(1));
    }

    @Test
    void waitingRequestDoesNotRunForTheFormerOrganisationOfItsKey() {
        mFixture.configure(2, BOTH);
        mFixture.request(1, "k1");
        mFixture.configure(3, MOVED);
        mFixture.stateLoaded();
        assertThat(mFixture.mAnswers, contains("1 refused KEYS_UNVERIFIED"));
        assertThat(mFixture.mSent, empty());
    }

    @Test
    void keysAreNotVerifiedByAnOldProof() {
        RoutingDutyFixture fixture = new RoutingDutyFixture(Clock.systemUTC(), LIMIT);
        fixture.configure(2, BOTH);
        fixture.stateLoaded();
        fixture.request(1, "k1");
        fixture.confirm(LIMIT);
        fixture.request(2, "k3");
        assertThat(
                fixture.mAnswers,
                contains("1 refused KEYS_UNVERIFIED", "2 refused KEYS_UNVERIFIED"));
        fixture.confirm(Duration.ofMillis(10));
        fixture.request(3, "k1");
        assertThat(fixture.mSent, hasSize(1));
    }

    /** A configuration that cannot be read may take keys away. */
    @Test
    void unreadableConfigurationIsNotProven() {
        RoutingDutyFixture fixture = new RoutingDutyFixture(Clock.systemUTC(), LIMIT);
        fixture.configure(2, BOTH);
        fixture.configure(3, ",\"tenants\":7");
        fixture.confirm(Duration.ofMillis(10));
        fixture.request(1, "k1");
        assertThat(fixture.mAnswers, contains("1 refused KEYS_UNVERIFIED"));
    }
}
