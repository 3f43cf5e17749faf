package org.oleanderspring.daemon.gateway.routing.command;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ModelDemand;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.Target;

/**
 * Counts the calls for each model: those that wait, those that run, and those that arrived since
 * the last report.
 */
final class ModelDemandCounter {
    /** The index of the number of waiting calls in the counts of a target. */
    private static final int WAITING = 0;

    /** The index of the number of running calls. */
    private static final int RUNNING = 1;

    private final Map<Target.ServiceModelTarget, Integer> mArrived = new HashMap<>();
    private Set<ServiceName> mReportedServices = new HashSet<>();

    void countArrival(Target target) {
        if (target instanceof Target.ServiceModelTarget modelTarget) {
            mArrived.merge(modelTarget, 1, Integer::sum);
        }
    }

    /**
     * Returns the demand for each service and resets the count of arrivals. A service that was in
     * the last report and has no demand now is included once more, with an empty list.
     *
     * @param calls all calls that routing is handling
     * @param running the calls with an attempt in progress; all others count as waiting
     */
    Map<ServiceName, List<ModelDemand>> takeCounts(
            Collection<GatewayCall> calls, Set<CallId> running) {
        Map<Target.ServiceModelTarget, int[]> counts = new LinkedHashMap<>();
        mArrived.forEach((target, arrived) -> counts.put(target, new int[] {0, 0}));
        for (GatewayCall call : calls) {
            if (call.call().target() instanceof Target.ServiceModelTarget target) {
                int[] count = counts.computeIfAbsent(target, key -> new int[] {0, 0});
                count[running.contains(call.call().id()) ? RUNNING : WAITING]++;
            }
        }
        Map<ServiceName, List<ModelDemand>> demands = new HashMap<>();
        counts.forEach(
                (target, count) ->
                        demands.computeIfAbsent(target.service(), key -> new ArrayList<>())
                                .add(
                                        new ModelDemand(
                                                target.model(),
                                                count[WAITING],
                                                count[RUNNING],
                                                mArrived.getOrDefault(target, 0))));
        Set<ServiceName> services = new HashSet<>(demands.keySet());
        for (ServiceName service : mReportedServices) {
            demands.putIfAbsent(service, List.of());
        }
        mReportedServices = services;
        mArrived.clear();
        return demands;
    }
}
