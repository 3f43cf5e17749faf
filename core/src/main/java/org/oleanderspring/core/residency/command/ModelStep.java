package org.oleanderspring.core.residency.command;

import java.util.Objects;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.residency.ResidencyOrderKind;

/**
 * One step of a planned change to the models of a runner.
 *
 * @param kind the operation
 * @param model the model
 * @param reason the reason, for the log
 */
record ModelStep(ResidencyOrderKind kind, ModelName model, String reason) {
    ModelStep {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(reason, "reason");
    }
}
