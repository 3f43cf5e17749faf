package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.oleanderspring.core.placement.KeepAliveLimits;

/**
 * Applies the same keep-alive time to all models and never loads ahead of use. Used as a baseline
 * in benchmarks.
 */
public final class FixedKeepAlivePolicy implements KeepAlivePolicy {
    private final Duration mKeepAlive;

    /**
     * Creates the policy.
     *
     * @param keepAlive the time for which replicas stay loaded after their last use
     */
    public FixedKeepAlivePolicy(Duration keepAlive) {
        mKeepAlive = Objects.requireNonNull(keepAlive, "keepAlive");
    }

    @Override
    public Duration keepAlive(
            UsageHistory history, UsageHistory pool, Duration coldStart, KeepAliveLimits limits) {
        return mKeepAlive;
    }

    @Override
    public boolean expectsUse(
            UsageHistory history, Instant now, Duration coldStart, KeepAliveLimits limits) {
        return false;
    }
}
