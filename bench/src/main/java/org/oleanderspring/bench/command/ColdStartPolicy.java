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
 * One combination of policies that is compared.
 *
 * @param name the name in the table
 * @param policies the policies
 * @param idleCostWeight the operators' setting
 * @param isLearned whether the keep-alive is learned
 */
record ColdStartPolicy(
        String name, PlacementPolicies policies, int idleCostWeight, boolean isLearned) {
    private static final int EQUAL_WEIGHT = 50;

    /** Checks for missing parts. */
    ColdStartPolicy {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(policies, "policies");
    }

    /** Returns the fixed keep-alives, the learned ones over several weights, and the baselines. */
    static List<ColdStartPolicy> all() {
        List<ColdStartPolicy> all = new ArrayList<>();
        for (int minutes : new int[] {1, 5, 15, 60, 240, 720}) {
            all.add(fixed("fixed " + minutes + " min", minutes));
        }
        for (int weight : new int[] {2, 10, 30, 50, 70, 90, 98}) {
            PlacementPolicies learned = combine(new LearnedKeepAlivePolicy());
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
        return new ColdStartPolicy(name, combine(keepAlive), EQUAL_WEIGHT, false);
    }

    private static ColdStartPolicy baseline(
            String name, LoadOrderPolicy order, ActivationReplicaPolicy wakes) {
        KeepAlivePolicy keepAlive = new FixedKeepAlivePolicy(Duration.ofMinutes(15));
        PlacementPolicies policies =
                new PlacementPolicies(
                        keepAlive,
                        order,
                        new NearestCheckpointSelector(),
                        new LeastRecentlyUsedEviction(),
                        wakes);
        return new ColdStartPolicy(name, policies, EQUAL_WEIGHT, false);
    }

    private static PlacementPolicies combine(KeepAlivePolicy keepAlive) {
        return PlacementPolicies.standard().withKeepAlive(keepAlive);
    }
}
