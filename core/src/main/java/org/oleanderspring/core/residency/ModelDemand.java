package org.oleanderspring.core.residency;

import java.util.Objects;
import org.oleanderspring.core.fleet.ModelReference;

/**
 * The calls for a model or adapter at one daemon.
 *
 * @param model the model or adapter
 * @param waiting the number of calls that wait for a runner
 * @param running the number of calls that are being served
 * @param arrived the number of calls that arrived since the daemon's previous report
 */
public record ModelDemand(ModelReference model, int waiting, int running, int arrived) {
    /** Rejects negative call counts. */
    public ModelDemand {
        Objects.requireNonNull(model, "model");
        if (waiting < 0 || running < 0 || arrived < 0) {
            throw new IllegalArgumentException(
                    "negative call count for "
                            + model
                            + ": waiting "
                            + waiting
                            + ", running "
                            + running
                            + ", arrived "
                            + arrived);
        }
    }
}
