package org.oleanderspring.daemon.routing.command;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.ModelUse;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.Target;

/** Counts the calls for each model: those that arrived since the last report, wait and run. */
final class ModelUseCounter {
    private final Map<ModelName, Integer> mArrived = new TreeMap<>();

    /** The counts of one model. */
    private static final class Counts {
        private int mInFlight;
        private int mQueued;
        private int mArrived;
    }

    void countArrival(Target target) {
        if (target instanceof Target.ModelTarget model) {
            mArrived.merge(model.model(), 1, Integer::sum);
        }
    }

    /** Returns the counts of each model and resets the count of arrivals. */
    List<ModelUse> takeCounts(Collection<AcceptedCall> calls, Collection<AttemptId> running) {
        Set<CallId> inFlight = new HashSet<>();
        running.forEach(attempt -> inFlight.add(attempt.call()));
        Map<ModelName, Counts> counts = new TreeMap<>();
        mArrived.forEach(
                (model, arrived) ->
                        counts.computeIfAbsent(model, key -> new Counts()).mArrived = arrived);
        mArrived.clear();
        for (AcceptedCall call : calls) {
            if (call.request().target() instanceof Target.ModelTarget model) {
                Counts count = counts.computeIfAbsent(model.model(), key -> new Counts());
                boolean runs = inFlight.contains(call.request().id());
                count.mInFlight += runs ? 1 : 0;
                count.mQueued += runs ? 0 : 1;
            }
        }
        List<ModelUse> uses = new ArrayList<>();
        counts.forEach(
                (model, count) ->
                        uses.add(
                                new ModelUse(
                                        model, count.mInFlight, count.mQueued, count.mArrived)));
        return uses;
    }
}
