package org.oleanderspring.core.placement;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The operators' settings that placement follows.
 *
 * @param defaults the replicas of models without an exception
 * @param exceptions the replicas of models with an exception
 * @param loads what the weight store allows
 * @param keepAlive how long idle replicas stay loaded
 * @param drainPropagationTime how long after the write of the plan all routers know of a draining
 *     replica
 * @param vmListLag how far the VM list may be behind
 * @param orderSettleTime how long after the end of an order's exchange a report must be made to
 *     show its effect
 */
public record PlacementLimits(
        ModelLimits defaults,
        Map<ModelName, ModelLimits> exceptions,
        LoadLimits loads,
        KeepAliveLimits keepAlive,
        Duration drainPropagationTime,
        Duration vmListLag,
        Duration orderSettleTime) {
    /** The limits before the settings are known: nothing may be loaded. */
    public static final PlacementLimits DEFAULT =
            new PlacementLimits(
                    new ModelLimits(0, 0),
                    Map.of(),
                    new LoadLimits(6, 4, 30),
                    new KeepAliveLimits(Duration.ofMinutes(1), Duration.ofHours(4), 50),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(30),
                    Duration.ofSeconds(2));

    /** Copies the map and checks the ranges. */
    public PlacementLimits {
        Objects.requireNonNull(defaults, "defaults");
        exceptions = Map.copyOf(exceptions);
        Objects.requireNonNull(loads, "loads");
        Objects.requireNonNull(keepAlive, "keepAlive");
        if (drainPropagationTime.isNegative()
                || vmListLag.isNegative()
                || orderSettleTime.isNegative()) {
            throw new IllegalArgumentException("placement duration is negative");
        }
    }

    /**
     * Returns the limits of a model or adapter.
     *
     * @param name the name
     */
    public ModelLimits forModel(ModelName name) {
        return exceptions.getOrDefault(name, defaults);
    }
}
