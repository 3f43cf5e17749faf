package org.oleanderspring.core.residency;

import java.util.Objects;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelReference;

/**
 * An order to a runner to load or unload a model or adapter.
 *
 * @param number the sequence number of the order at its sender
 * @param runner the runner
 * @param kind the operation to perform
 * @param model the model or adapter
 * @param expectedOrders the number of orders that the runner must have accepted so far; the runner
 *     rejects the order if its own count differs, for example because the order arrives late
 * @param token the fencing token of the sender's tenure
 */
public record ResidencyOrder(
        long number,
        EndpointId runner,
        ResidencyOrderKind kind,
        ModelReference model,
        long expectedOrders,
        FencingToken token) {
    /** Rejects null components. */
    public ResidencyOrder {
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(token, "token");
    }

    /** Returns whether the order is for an adapter rather than for a model. */
    public boolean isForAdapter() {
        return model.adapter() != null;
    }
}
