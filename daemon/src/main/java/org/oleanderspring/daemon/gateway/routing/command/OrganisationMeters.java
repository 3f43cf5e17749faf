package org.oleanderspring.daemon.gateway.routing.command;

import com.codahale.metrics.MetricRegistry;
import java.util.HashSet;
import java.util.Set;
import org.oleanderspring.core.organisation.CallerIdentity;
import org.oleanderspring.core.organisation.OrganisationName;
import org.oleanderspring.core.organisation.query.OrganisationDirectory;

/**
 * Counts requests by the organisation of their caller: those with the largest quotas by name, all
 * others together, so that a configuration cannot create metrics without end.
 */
final class OrganisationMeters {
    /** Enough to see who causes a load; a page of metrics stays readable. */
    private static final int NAMED = 20;

    /** No more names get metrics of their own over all configurations of a process. */
    private static final int NAMED_EVER = 4 * NAMED;

    private final MetricRegistry mRegistry;
    private final Set<OrganisationName> mNamed = new HashSet<>();
    private Set<OrganisationName> mLargest = Set.of();

    OrganisationMeters(MetricRegistry registry) {
        mRegistry = registry;
    }

    void configured(OrganisationDirectory organisations) {
        mLargest = Set.copyOf(organisations.largest(NAMED));
    }

    void admitted(CallerIdentity caller) {
        if (caller instanceof CallerIdentity.Member member) {
            count(member.organisation());
        }
    }

    private void count(OrganisationName organisation) {
        boolean isNamed =
                mLargest.contains(organisation)
                        && (mNamed.contains(organisation) || mNamed.size() < NAMED_EVER);
        if (isNamed) {
            mNamed.add(organisation);
        }
        String name = isNamed ? "named." + organisation.value() : "others";
        mRegistry.counter("gateway.organisation.admitted." + name).inc();
    }
}
