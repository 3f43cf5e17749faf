package org.oleanderspring.core.residency;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.runner.HeldModel;

/**
 * What a runner holds, as the daemon that gives it orders knows it.
 *
 * @param runner the runner
 * @param token the fencing token of that daemon's tenure
 * @param number the number of this statement within the tenure; a later one has a higher number
 * @param orders how many orders the runner had accepted
 * @param models the models that it holds
 * @param closing the models among them that are about to be unloaded and get no new call
 */
public record Residency(
        EndpointId runner,
        FencingToken token,
        long number,
        long orders,
        List<HeldModel> models,
        Set<ModelName> closing) {
    /** Copies the collections. */
    public Residency {
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(token, "token");
        models = List.copyOf(models);
        closing = Set.copyOf(closing);
    }

    /**
     * Returns whether this statement was made after another one.
     *
     * @param other the other statement
     */
    public boolean isAfter(Residency other) {
        int tenure = token.compareTo(other.token);
        return tenure > 0 || tenure == 0 && number > other.number;
    }
}
