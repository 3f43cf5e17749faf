package org.oleanderspring.core.placement;

import java.util.Objects;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The calls for one model or adapter at one daemon, as the daemon reports them.
 *
 * @param name the model or adapter
 * @param inFlight the number of calls that are being served
 * @param queued the number of calls that wait for a replica
 * @param arrived the number of calls that arrived since the daemon's previous report
 */
public record ModelUse(ModelName name, int inFlight, int queued, int arrived) {
    /** Rejects negative call counts. */
    public ModelUse {
        Objects.requireNonNull(name, "name");
        if (inFlight < 0 || queued < 0 || arrived < 0) {
            throw new IllegalArgumentException(
                    "negative call count for "
                            + name
                            + ": in flight "
                            + inFlight
                            + ", queued "
                            + queued
                            + ", arrived "
                            + arrived);
        }
    }
}
