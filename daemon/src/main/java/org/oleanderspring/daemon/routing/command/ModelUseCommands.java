package org.oleanderspring.daemon.routing.command;

import java.util.List;
import org.oleanderspring.core.placement.ModelUse;

/** Reports the use of models to the daemons that decide on placement. */
@FunctionalInterface
public interface ModelUseCommands {
    /**
     * Reports the use of models at this daemon since the last report.
     *
     * @param uses the counts of each model that was in use
     */
    void report(List<ModelUse> uses);
}
