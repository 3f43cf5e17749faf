package org.oleanderspring.core.placement;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The settings that placement applies, as configured by the operators.
 *
 * @param defaults the replica limits of models without an exception
 * @param exceptions the replica limits of models with an exception
 * @param loads the limits on loads from the weight store
 * @param keepAlive the bounds for the keep-alive time of idle replicas
 * @param drainPropagationTime the maximum time from writing a plan until all routers know its
 *     draining replicas
 * @param vmListLag the maximum time by which the VM list may lag behind the actual VMs
 * @param orderSettleTime the maximum time from the end of an order's exchange with the runner until
 *     the runner's reports show the effect of the order
 */
public record PlacementLimits(
        ModelLimits defaults,
        Map<ModelName, ModelLimits> exceptions,
        LoadLimits loads,
        KeepAliveLimits keepAlive,
        Duration drainPropagationTime,
        Duration vmListLag,
        Duration orderSettleTime) {
    /**
     * The limits that apply before the settings are known. They allow no replicas, so nothing is
     * loaded.
     */
    public static final PlacementLimits DEFAULT =
            new PlacementLimits(
                    new ModelLimits(0, 0),
                    Map.of(),
                    new LoadLimits(6, 4, 30),
                    new KeepAliveLimits(Duration.ofMinutes(1), Duration.ofHours(4), 50),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(30),
                    Duration.ofSeconds(2));

    /** Makes an immutable copy of the map and rejects negative durations. */
    public PlacementLimits {
        Objects.requireNonNull(defaults, "defaults");
        exceptions = Map.copyOf(exceptions);
        Objects.requireNonNull(loads, "loads");
        Objects.requireNonNull(keepAlive, "keepAlive");
        if (drainPropagationTime.isNegative()
                || vmListLag.isNegative()
                || orderSettleTime.isNegative()) {
            throw new IllegalArgumentException(
                    "negative placement duration: drain propagation time "
                            + drainPropagationTime
                            + ", VM list lag "
                            + vmListLag
                            + ", order settle time "
                            + orderSettleTime);
        }
    }

    /**
     * Returns the replica limits of a model or adapter.
     *
     * @param name the model or adapter
     */
    public ModelLimits forModel(ModelName name) {
        return exceptions.getOrDefault(name, defaults);
    }
}
