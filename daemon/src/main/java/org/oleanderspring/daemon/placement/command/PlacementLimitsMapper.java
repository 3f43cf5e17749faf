package org.oleanderspring.daemon.placement.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.KeepAliveLimits;
import org.oleanderspring.core.placement.LoadLimits;
import org.oleanderspring.core.placement.ModelLimits;
import org.oleanderspring.core.placement.PlacementLimits;
import org.oleanderspring.core.settings.FleetSettings;
import org.oleanderspring.core.settings.ModelSetting;
import org.oleanderspring.core.settings.SettingName;

/** Maps the operators' settings to the limits of the placement decider. */
final class PlacementLimitsMapper {
    private PlacementLimitsMapper() {}

    /**
     * Returns the limits that follow from the settings. Limits without a setting keep their
     * defaults.
     *
     * @param settings the current settings
     */
    static PlacementLimits map(FleetSettings settings) {
        Map<ModelName, ModelLimits> limitsByModel = new HashMap<>();
        for (ModelSetting setting : settings.exceptions()) {
            limitsByModel.computeIfAbsent(
                    setting.model(),
                    model ->
                            limits(
                                    settings.value(SettingName.REPLICA_LIMIT, model),
                                    settings.value(SettingName.MINIMUM_REPLICAS, model)));
        }
        return new PlacementLimits(
                limits(
                        settings.value(SettingName.REPLICA_LIMIT),
                        settings.value(SettingName.MINIMUM_REPLICAS)),
                limitsByModel,
                new LoadLimits(
                        (int) settings.value(SettingName.LOADS_PER_SECOND),
                        (int) settings.value(SettingName.CONCURRENT_LOADS),
                        (int) settings.value(SettingName.CONCURRENT_ADAPTER_LOADS)),
                keepAlive(settings),
                PlacementLimits.DEFAULT.drainPropagationTime(),
                PlacementLimits.DEFAULT.vmListLag(),
                PlacementLimits.DEFAULT.orderSettleTime());
    }

    /**
     * Lowers a minimum above the replica limit to that limit, since the limit must never be
     * exceeded.
     */
    private static ModelLimits limits(long replicaLimit, long minimumReplicas) {
        return new ModelLimits((int) replicaLimit, (int) Math.min(minimumReplicas, replicaLimit));
    }

    /** Lowers a minimum above the maximum to the maximum, since the two are set independently. */
    private static KeepAliveLimits keepAlive(FleetSettings settings) {
        long shortest = settings.value(SettingName.KEEP_ALIVE_MINIMUM);
        long longest = settings.value(SettingName.KEEP_ALIVE_MAXIMUM);
        return new KeepAliveLimits(
                Duration.ofSeconds(Math.min(shortest, longest)),
                Duration.ofSeconds(longest),
                (int) settings.value(SettingName.IDLE_COST_WEIGHT));
    }
}
