package org.oleanderspring.core.placement;

import java.util.Objects;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The use of one model at one daemon.
 *
 * @param name the model or adapter
 * @param inFlight calls that run
 * @param queued calls that wait
 * @param arrived calls that arrived since the daemon's last report
 */
public record ModelUse(ModelName name, int inFlight, int queued, int arrived) {
    /** Checks the ranges. */
    public ModelUse {
        Objects.requireNonNull(name, "name");
        if (inFlight < 0 || queued < 0 || arrived < 0) {
            throw new IllegalArgumentException("use of " + name + " is negative");
        }
    }
}
