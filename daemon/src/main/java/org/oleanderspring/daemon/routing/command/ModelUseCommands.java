package org.oleanderspring.daemon.routing.command;

import java.util.List;
import org.oleanderspring.core.placement.ModelUse;

/** Reports the use of models to the daemons that decide on placement. */
@FunctionalInterface
public interface ModelUseCommands {
    /**
     * Reports the use of models at this daemon.
     *
     * @param uses the models in use
     */
    void report(List<ModelUse> uses);
}
