package org.oleanderspring.core.review.query;

import java.util.List;
import org.oleanderspring.core.review.Finding;
import org.oleanderspring.core.route.FleetConfiguration;

/** Looks for one kind of fault in a configuration. */
interface ConfigurationCheck {
    /**
     * Returns what the check finds, in the order of the configuration's entries.
     *
     * @param configuration the configuration
     */
    List<Finding> check(FleetConfiguration configuration);
}
