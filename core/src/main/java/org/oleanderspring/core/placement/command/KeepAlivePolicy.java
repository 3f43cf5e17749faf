package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import org.oleanderspring.core.placement.KeepAliveLimits;

/**
 * Decides how long an idle replica stays loaded, and whether a replica is loaded ahead of its use.
 */
public interface KeepAlivePolicy {
    /**
     * Returns the time for which a replica stays loaded after its last use.
     *
     * @param history the usage history of the model
     * @param pool the combined usage history of all models, for models with a short history
     * @param coldStart the time for which a call waits while the model is loaded
     * @param limits the configured bounds
     */
    Duration keepAlive(
            UsageHistory history, UsageHistory pool, Duration coldStart, KeepAliveLimits limits);

    /**
     * Returns whether a replica should be loaded now because calls are likely to arrive soon.
     *
     * @param history the usage history of the model
     * @param now the current time
     * @param coldStart the time for which a call waits while the model is loaded
     * @param limits the configured bounds
     */
    boolean expectsUse(
            UsageHistory history, Instant now, Duration coldStart, KeepAliveLimits limits);
}
