package org.oleanderspring.core.organisation.query;

import org.oleanderspring.core.organisation.AuthenticationResult;
import org.oleanderspring.core.organisation.CallerIdentity;
import org.oleanderspring.core.organisation.Organisation;
import org.oleanderspring.core.organisation.PresentedKey;

/** Decides on whose behalf a request is accepted. */
public final class CallerAuthenticator {
    private CallerAuthenticator() {}

    /**
     * Decides about one request.
     *
     * <p>While the configuration may be out of date, no request is rejected for good, because a
     * newer configuration may hold its key or make its route anonymous.
     *
     * @param directory the organisations of the configuration
     * @param routeIsAnonymous whether the route of the request needs no key
     * @param key what the request says about its key
     * @param isCurrent whether the configuration is known to be current
     */
    public static AuthenticationResult authenticate(
            OrganisationDirectory directory,
            boolean routeIsAnonymous,
            PresentedKey key,
            boolean isCurrent) {
        if (directory.isEmpty()) {
            return new AuthenticationResult.Accepted(new CallerIdentity.Unchecked(), null);
        }
        if (routeIsAnonymous) {
            return new AuthenticationResult.Accepted(new CallerIdentity.Anonymous(), null);
        }
        if (!isCurrent) {
            return new AuthenticationResult.Unverified();
        }
        Organisation organisation =
                key instanceof PresentedKey.Given given ? directory.find(given.digest()) : null;
        return organisation == null
                ? new AuthenticationResult.Rejected()
                : new AuthenticationResult.Accepted(
                        new CallerIdentity.Member(organisation.name()), organisation.priority());
    }
}
