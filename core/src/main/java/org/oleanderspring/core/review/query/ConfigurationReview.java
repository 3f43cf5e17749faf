package org.oleanderspring.core.review.query;

import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.core.review.Finding;
import org.oleanderspring.core.route.FleetConfiguration;

/**
 * Reviews a configuration that can be read: entries that can never match, and values that
 * contradict each other. Each daemon takes such a configuration nevertheless; a finding says what
 * callers would see.
 */
public final class ConfigurationReview {
    private final List<ConfigurationCheck> mChecks =
            List.of(
                    new RouteMatchCheck(),
                    new RouteLimitCheck(),
                    new EngineCheck(),
                    new OrganisationCheck());

    /** Creates a review with all checks. */
    public ConfigurationReview() {}

    /**
     * Returns all findings.
     *
     * @param configuration the configuration
     */
    public List<Finding> review(FleetConfiguration configuration) {
        List<Finding> findings = new ArrayList<>();
        for (ConfigurationCheck check : mChecks) {
            findings.addAll(check.check(configuration));
        }
        return findings;
    }
}
