package org.oleanderspring.core.review.query;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.organisation.ApiKeyDigest;
import org.oleanderspring.core.organisation.Organisation;
import org.oleanderspring.core.organisation.OrganisationName;
import org.oleanderspring.core.organisation.Quota;
import org.oleanderspring.core.review.Finding;
import org.oleanderspring.core.route.FleetConfiguration;

/** Finds organisations whose callers can never be served. */
final class OrganisationCheck implements ConfigurationCheck {
    @Override
    public List<Finding> check(FleetConfiguration configuration) {
        List<Finding> findings = new ArrayList<>();
        Map<ApiKeyDigest, OrganisationName> owners = new HashMap<>();
        for (Organisation organisation : configuration.organisations()) {
            String entry = "organisation " + organisation.name();
            if (organisation.keys().isEmpty()) {
                findings.add(Finding.of(ErrorMessage.ORGANISATION_WITHOUT_KEY, entry));
            }
            checkOwners(organisation, owners, findings);
            checkQuota(entry, organisation.quota(), findings);
        }
        return findings;
    }

    private static void checkOwners(
            Organisation organisation,
            Map<ApiKeyDigest, OrganisationName> owners,
            List<Finding> findings) {
        for (ApiKeyDigest key : organisation.keys()) {
            OrganisationName owner = owners.putIfAbsent(key, organisation.name());
            if (owner != null) {
                findings.add(
                        Finding.of(
                                ErrorMessage.SHARED_KEY,
                                "organisation " + organisation.name(),
                                owner.value()));
            }
        }
    }

    /**
     * A request is admitted as a whole, so it must fit into what one second and the burst allow.
     */
    private static void checkQuota(String entry, @Nullable Quota quota, List<Finding> findings) {
        if (quota == null) {
            return;
        }
        double largest = quota.ratePerSecond() + quota.burst();
        double cost = quota.costOf(null);
        boolean isLimited = largest > 0;
        if (isLimited && cost > largest) {
            findings.add(
                    Finding.of(
                            ErrorMessage.QUOTA_BELOW_ONE_REQUEST,
                            entry,
                            Double.toString(cost),
                            Double.toString(largest)));
        }
    }
}
