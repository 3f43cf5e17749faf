package org.oleanderspring.core.residency;

import java.util.Objects;
import org.oleanderspring.core.fleet.ModelReference;

/**
 * The use of a model or adapter at one daemon.
 *
 * @param model the model or adapter
 * @param waiting how many calls wait for it
 * @param running how many calls run
 * @param arrived how many calls arrived since the report before
 */
public record ModelDemand(ModelReference model, int waiting, int running, int arrived) {
    /** Checks the ranges. */
    public ModelDemand {
        Objects.requireNonNull(model, "model");
        if (waiting < 0 || running < 0 || arrived < 0) {
            throw new IllegalArgumentException("demand for " + model + " is negative");
        }
    }
}
