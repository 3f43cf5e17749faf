package org.oleanderspring.core.organisation.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.organisation.ApiKeyDigest;
import org.oleanderspring.core.organisation.AuthenticationResult;
import org.oleanderspring.core.organisation.CallerIdentity;
import org.oleanderspring.core.organisation.Organisation;
import org.oleanderspring.core.organisation.OrganisationName;
import org.oleanderspring.core.organisation.PresentedKey;

/** Guards against callers that are let in without a key of an organisation. */
class CallerAuthenticatorTest {
    private static final PresentedKey NONE = new PresentedKey.None();

    private static Organisation organisation(String name, Integer priority, String... keys) {
        return new Organisation(
                new OrganisationName(name),
                Set.copyOf(List.of(keys).stream().map(ApiKeyDigest::of).toList()),
                priority,
                null);
    }

    private static PresentedKey key(String key) {
        return new PresentedKey.Given(ApiKeyDigest.of(key));
    }

    private final OrganisationDirectory mDirectory =
            new OrganisationDirectory(
                    List.of(
                            organisation("a", 3, "k1", "k2", "shared"),
                            organisation("b", null, "k3", "shared")));

    private AuthenticationResult ask(PresentedKey key, boolean anonymous, boolean isCurrent) {
        return CallerAuthenticator.authenticate(mDirectory, anonymous, key, isCurrent);
    }

    @Test
    void knownKeyNamesItsOrganisationAndPriority() {
        assertThat(
                ask(key("k2"), false, true),
                is(
                        new AuthenticationResult.Accepted(
                                new CallerIdentity.Member(new OrganisationName("a")), 3)));
    }

    @Test
    void missingMalformedUnknownAndSharedKeysAreRejected() {
        for (PresentedKey key :
                List.of(NONE, new PresentedKey.Malformed("empty"), key("x"), key("shared"))) {
            assertThat(ask(key, false, true), instanceOf(AuthenticationResult.Rejected.class));
        }
    }

    /** A newer configuration may hold the key, so nothing may be rejected for good. */
    @Test
    void nothingIsDecidedByAnOutdatedConfiguration() {
        for (PresentedKey key : List.of(NONE, key("x"), key("k1"))) {
            assertThat(ask(key, false, false), instanceOf(AuthenticationResult.Unverified.class));
        }
    }

    @Test
    void anonymousRoutesNeedNoKeyAndNoProof() {
        assertThat(
                ask(NONE, true, false),
                is(new AuthenticationResult.Accepted(new CallerIdentity.Anonymous(), null)));
    }

    @Test
    void withoutOrganisationsCallersAreNotChecked() {
        assertThat(
                CallerAuthenticator.authenticate(OrganisationDirectory.EMPTY, false, NONE, false),
                is(new AuthenticationResult.Accepted(new CallerIdentity.Unchecked(), null)));
    }
}
