package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import org.oleanderspring.core.placement.KeepAliveLimits;

/** Decides how long an idle replica stays loaded, and whether one is loaded ahead of its use. */
public interface KeepAlivePolicy {
    /**
     * Returns how long a replica stays loaded after its last use.
     *
     * @param history when the model was used
     * @param pool when all models were used, for models with a short history
     * @param coldStart how long a caller waits for a load
     * @param limits the operators' settings
     */
    Duration keepAlive(
            ArrivalHistory history,
            ArrivalHistory pool,
            Duration coldStart,
            KeepAliveLimits limits);

    /**
     * Returns whether a replica should be loaded now because a use is likely soon.
     *
     * @param history when the model was used
     * @param now the current time
     * @param coldStart how long a caller waits for a load
     * @param limits the operators' settings
     */
    boolean expectsUse(
            ArrivalHistory history, Instant now, Duration coldStart, KeepAliveLimits limits);
}
