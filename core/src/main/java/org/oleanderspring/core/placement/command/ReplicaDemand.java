package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.placement.ModelLimits;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotReason;
import org.oleanderspring.core.placement.SlotState;

/**
 * Derives the missing replicas from pending activations, current calls and settings.
 *
 * <p>The first reason that applies determines the number of replicas of a model and the deadline of
 * their load requests: a pending activation that needs at least as many replicas as the current
 * calls, current calls that need more than the configured minimum, the configured minimum, or a
 * keep-alive policy that expects calls soon, for one replica.
 */
final class ReplicaDemand {
    /**
     * The states of slots that serve calls or will serve them without a further planning decision.
     */
    static final Set<SlotState> SERVING =
            Set.of(SlotState.RESERVED, SlotState.LOADING, SlotState.READY);

    /** The assumed number of concurrent calls of a runner until a report states it. */
    private static final int ASSUMED_CONCURRENCY = 8;

    // The deadlines of load requests for which no calls wait. They only determine the load order.
    private static final Duration SCALE_OUT_DEADLINE = Duration.ofSeconds(10);
    private static final Duration MINIMUM_DEADLINE = Duration.ofMinutes(1);
    private static final Duration PREWARM_DEADLINE = Duration.ofMinutes(1);
    private static final Duration NEW_VERSION_DEADLINE = Duration.ofMinutes(10);

    private final CellState mState;
    private final PlacementPolicies mPolicies;

    ReplicaDemand(CellState state, PlacementPolicies policies) {
        mState = state;
        mPolicies = policies;
    }

    /**
     * Records the number of replicas that the current calls need. {@link UnloadPlanner} uses it for
     * scaling in.
     */
    void recordNeeds(Instant now) {
        mState.usage()
                .models()
                .forEach(
                        (name, traffic) -> {
                            if (traffic.demand() > 0) {
                                traffic.recordNeeded(replicasForCalls(name), now);
                            }
                        });
    }

    /** Returns one load request for each missing replica. */
    List<LoadRequest> missingReplicas(Instant now) {
        List<LoadRequest> requests = new ArrayList<>();
        for (ModelName name : candidateModels()) {
            Checkpoint checkpoint = mState.checkpoint(name);
            if (checkpoint != null) {
                addMissing(checkpoint, now, requests);
            }
        }
        return requests;
    }

    private Set<ModelName> candidateModels() {
        Set<ModelName> names = new TreeSet<>();
        mState.activations().all().forEach(activation -> names.add(activation.model()));
        names.addAll(mState.usage().models().keySet());
        names.addAll(mState.slots().names());
        mState.limits().exceptions().forEach((name, limits) -> addMinimum(names, name, limits));
        if (mState.limits().defaults().minimumReplicas() > 0) {
            names.addAll(mState.catalogue().keySet());
        }
        return names;
    }

    private static void addMinimum(Set<ModelName> names, ModelName name, ModelLimits limits) {
        if (limits.minimumReplicas() > 0) {
            names.add(name);
        }
    }

    private void addMissing(Checkpoint checkpoint, Instant now, List<LoadRequest> requests) {
        ModelName name = checkpoint.name();
        int current = mState.slots().countOf(name, SERVING);
        int limit = mState.limits().forModel(name).replicaLimit();
        DesiredReplicas desired = desiredReplicas(checkpoint, now);
        for (int i = current; i < Math.min(desired.replicas(), limit); i++) {
            requests.add(request(checkpoint, desired.reason(), now));
        }
        if (current > 0 && current >= desired.replicas() && needsNewVersion(checkpoint, desired)) {
            requests.add(request(checkpoint, SlotReason.NEW_VERSION, now));
        }
    }

    private DesiredReplicas desiredReplicas(Checkpoint checkpoint, Instant now) {
        ModelName name = checkpoint.name();
        ModelActivation activation = mState.activations().of(name);
        int forActivation =
                activation == null ? 0 : mPolicies.activationReplicas().replicasWanted(activation);
        int forCalls = replicasForCalls(name);
        int minimum = mState.limits().forModel(name).minimumReplicas();
        if (activation != null && forActivation >= forCalls) {
            return new DesiredReplicas(forActivation, SlotReason.WAKE);
        }
        if (forCalls > minimum) {
            return new DesiredReplicas(forCalls, SlotReason.SCALE_OUT);
        }
        if (minimum > 0) {
            return new DesiredReplicas(minimum, SlotReason.MINIMUM);
        }
        return new DesiredReplicas(expectsUse(checkpoint, now) ? 1 : 0, SlotReason.PREWARM);
    }

    private int replicasForCalls(ModelName name) {
        int demand = mState.usage().demand(name);
        int concurrency = concurrencyOf(name);
        return (demand + concurrency - 1) / concurrency;
    }

    private int concurrencyOf(ModelName name) {
        for (Slot slot : mState.slots().named(name)) {
            RunnerReport report = mState.fleet().reportOf(slot.key().runner());
            if (report != null) {
                return report.concurrency();
            }
        }
        return ASSUMED_CONCURRENCY;
    }

    /** Returns whether the keep-alive policy expects calls for the model soon. */
    boolean expectsUse(Checkpoint checkpoint, Instant now) {
        ModelTraffic traffic = mState.usage().of(checkpoint.name());
        if (traffic == null) {
            return false;
        }
        Duration coldStart = coldStartTime(checkpoint);
        return mPolicies
                .keepAlive()
                .expectsUse(traffic.history(), now, coldStart, mState.limits().keepAlive());
    }

    /** Returns the time for which a call waits while the model is loaded from the weight store. */
    Duration coldStartTime(Checkpoint checkpoint) {
        return mState.loadTimes().estimate(checkpoint, CheckpointLocation.REMOTE);
    }

    private boolean needsNewVersion(Checkpoint checkpoint, DesiredReplicas desired) {
        boolean outdated = false;
        for (Slot slot : mState.slots().named(checkpoint.name())) {
            if (!SERVING.contains(slot.state())) {
                continue;
            }
            if (slot.checkpoint().version().equals(checkpoint.version())) {
                return false;
            }
            outdated = true;
        }
        int limit = mState.limits().forModel(checkpoint.name()).replicaLimit();
        boolean hasRoom = mState.slots().countOf(checkpoint.name()) < limit;
        return outdated && hasRoom && desired.replicas() > 0;
    }

    private LoadRequest request(Checkpoint checkpoint, SlotReason reason, Instant now) {
        Instant expected = now.plus(coldStartTime(checkpoint));
        ModelActivation activation = mState.activations().of(checkpoint.name());
        if (reason == SlotReason.WAKE && activation != null) {
            return new LoadRequest(
                    checkpoint,
                    activation.earliestDeadline(),
                    expected,
                    activation.waiting(),
                    activation.firstAt(),
                    reason);
        }
        return new LoadRequest(
                checkpoint, now.plus(timeToDeadline(reason)), expected, 0, now, reason);
    }

    private static Duration timeToDeadline(SlotReason reason) {
        return Map.of(
                        SlotReason.MINIMUM, MINIMUM_DEADLINE,
                        SlotReason.PREWARM, PREWARM_DEADLINE,
                        SlotReason.NEW_VERSION, NEW_VERSION_DEADLINE)
                .getOrDefault(reason, SCALE_OUT_DEADLINE);
    }

    private record DesiredReplicas(int replicas, SlotReason reason) {}
}
