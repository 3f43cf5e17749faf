package org.oleanderspring.core.residency.command;

import java.util.Objects;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.residency.ResidencyOrderKind;

/**
 * One step of a planned change of the models of a runner.
 *
 * @param kind what to do
 * @param model the model
 * @param reason why, for the log
 */
record ModelStep(ResidencyOrderKind kind, ModelName model, String reason) {
    ModelStep {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(reason, "reason");
    }
}
