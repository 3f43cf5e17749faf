package org.oleanderspring.bench.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.placement.command.ActivationReplicaPolicy;
import org.oleanderspring.core.placement.command.EarliestDeadlineFirst;
import org.oleanderspring.core.placement.command.FirstComeFirstServed;
import org.oleanderspring.core.placement.command.FixedKeepAlivePolicy;
import org.oleanderspring.core.placement.command.KeepAlivePolicy;
import org.oleanderspring.core.placement.command.LearnedKeepAlivePolicy;
import org.oleanderspring.core.placement.command.LeastRecentlyUsedEviction;
import org.oleanderspring.core.placement.command.LoadOrderPolicy;
import org.oleanderspring.core.placement.command.NearestCheckpointSelector;
import org.oleanderspring.core.placement.command.OneReplicaPerDaemon;
import org.oleanderspring.core.placement.command.OneReplicaPerModel;
import org.oleanderspring.core.placement.command.PlacementPolicies;

/**
 * One of the combinations of placement policies that are compared.
 *
 * @param name the name in the output table
 * @param policies the policies of the placement decider
 * @param idleCostWeight the idle cost weight of the settings, in percent
 * @param isLearned whether the keep-alive is learned from the use of a model
 */
record ColdStartPolicy(
        String name, PlacementPolicies policies, int idleCostWeight, boolean isLearned) {
    /** Weighs idle time and latency equally; a fixed keep-alive does not depend on the weight. */
    private static final int EQUAL_IDLE_COST_WEIGHT = 50;

    /** Rejects a null name and null policies. */
    ColdStartPolicy {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(policies, "policies");
    }

    /**
     * Returns fixed keep-alives from 1 to 720 minutes, the learned keep-alive with several idle
     * cost weights, and two baselines with a fixed keep-alive that each replace one more policy:
     * loads in order of arrival, and one replica for each daemon.
     */
    static List<ColdStartPolicy> all() {
        List<ColdStartPolicy> all = new ArrayList<>();
        for (int minutes : new int[] {1, 5, 15, 60, 240, 720}) {
            all.add(fixed("fixed " + minutes + " min", minutes));
        }
        for (int weight : new int[] {2, 10, 30, 50, 70, 90, 98}) {
            PlacementPolicies learned = standardWith(new LearnedKeepAlivePolicy());
            all.add(new ColdStartPolicy("learned " + weight + "%", learned, weight, true));
        }
        all.add(
                baseline(
                        "fixed 15 min first-come",
                        new FirstComeFirstServed(),
                        new OneReplicaPerModel()));
        all.add(
                baseline(
                        "fixed 15 min unmerged",
                        new EarliestDeadlineFirst(),
                        new OneReplicaPerDaemon()));
        return all;
    }

    private static ColdStartPolicy fixed(String name, int minutes) {
        KeepAlivePolicy keepAlive = new FixedKeepAlivePolicy(Duration.ofMinutes(minutes));
        return new ColdStartPolicy(name, standardWith(keepAlive), EQUAL_IDLE_COST_WEIGHT, false);
    }

    private static ColdStartPolicy baseline(
            String name, LoadOrderPolicy loadOrder, ActivationReplicaPolicy activationReplicas) {
        KeepAlivePolicy keepAlive = new FixedKeepAlivePolicy(Duration.ofMinutes(15));
        PlacementPolicies policies =
                new PlacementPolicies(
                        keepAlive,
                        loadOrder,
                        new NearestCheckpointSelector(),
                        new LeastRecentlyUsedEviction(),
                        activationReplicas);
        return new ColdStartPolicy(name, policies, EQUAL_IDLE_COST_WEIGHT, false);
    }

    private static PlacementPolicies standardWith(KeepAlivePolicy keepAlive) {
        return PlacementPolicies.standard().withKeepAlive(keepAlive);
    }
}
