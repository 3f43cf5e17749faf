package org.oleanderspring.core.residency;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.runner.LoadedModel;

/**
 * A residency statement: the models that a runner holds, as published to all daemons by the daemon
 * that sends orders to the runner.
 *
 * @param runner the runner
 * @param token the fencing token of the publishing daemon's tenure
 * @param number the sequence number of the statement, which increases within a tenure
 * @param orders the number of orders that the runner had accepted
 * @param models the models that the runner holds
 * @param closing the models among them that are about to be unloaded and must not get new calls
 */
public record Residency(
        EndpointId runner,
        FencingToken token,
        long number,
        long orders,
        List<LoadedModel> models,
        Set<ModelName> closing) {
    /** Makes immutable copies of the collections. */
    public Residency {
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(token, "token");
        models = List.copyOf(models);
        closing = Set.copyOf(closing);
    }

    /**
     * Returns whether this statement is later than another one.
     *
     * @param other the other statement
     */
    public boolean isAfter(Residency other) {
        int tenure = token.compareTo(other.token);
        return tenure > 0 || tenure == 0 && number > other.number;
    }
}
