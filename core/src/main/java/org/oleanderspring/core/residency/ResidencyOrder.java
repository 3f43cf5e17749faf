package org.oleanderspring.core.residency;

import java.util.Objects;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelReference;

/**
 * An order to a runner.
 *
 * @param number the number of the order at its sender
 * @param runner the runner
 * @param kind what to do
 * @param model the model or adapter that it concerns
 * @param expectedOrders how many orders the runner has accepted if nothing changed; the runner
 *     rejects the order otherwise, also if it arrives late
 * @param token the fencing token of the sender's tenure
 */
public record ResidencyOrder(
        long number,
        EndpointId runner,
        ResidencyOrderKind kind,
        ModelReference model,
        long expectedOrders,
        FencingToken token) {
    /** Checks for missing parts. */
    public ResidencyOrder {
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(token, "token");
    }

    /** Returns whether the order concerns an adapter and not a whole model. */
    public boolean concernsAdapter() {
        return model.adapter() != null;
    }
}
