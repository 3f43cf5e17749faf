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

/** Derives from wakes, use and settings which replicas are missing. */
final class ReplicaDemand {
    /** The states of slots that serve calls or will do so without another decision. */
    static final Set<SlotState> SERVING =
            Set.of(SlotState.RESERVED, SlotState.LOADING, SlotState.READY);

    /** The calls that a runner serves at a time before any report said so. */
    private static final int ASSUMED_CONCURRENCY = 8;

    private static final Duration SCALE_OUT_WITHIN = Duration.ofSeconds(10);
    private static final Duration MINIMUM_WITHIN = Duration.ofMinutes(1);
    private static final Duration PREWARM_WITHIN = Duration.ofMinutes(1);
    private static final Duration NEW_VERSION_WITHIN = Duration.ofMinutes(10);

    private final CellState mState;
    private final PlacementPolicies mPolicies;

    ReplicaDemand(CellState state, PlacementPolicies policies) {
        mState = state;
        mPolicies = policies;
    }

    /** Notes how many replicas the current use needs, for scaling in later. */
    void noteUse(Instant now) {
        mState.use()
                .models()
                .forEach(
                        (name, activity) -> {
                            if (activity.demand() > 0) {
                                activity.noteNeeded(neededForUse(name), now);
                            }
                        });
    }

    /** Returns one request for each missing replica. */
    List<LoadRequest> missing(Instant now) {
        List<LoadRequest> requests = new ArrayList<>();
        for (ModelName name : candidates()) {
            Checkpoint checkpoint = mState.checkpoint(name);
            if (checkpoint != null) {
                addMissing(checkpoint, now, requests);
            }
        }
        return requests;
    }

    private Set<ModelName> candidates() {
        Set<ModelName> names = new TreeSet<>();
        mState.wakes().all().forEach(wake -> names.add(wake.model()));
        names.addAll(mState.use().models().keySet());
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
        int have = mState.slots().countOf(name, SERVING);
        int limit = mState.limits().forModel(name).replicaLimit();
        Wanted wanted = wanted(checkpoint, now);
        for (int i = have; i < Math.min(wanted.replicas(), limit); i++) {
            requests.add(request(checkpoint, wanted.reason(), now));
        }
        if (have > 0 && have >= wanted.replicas() && needsNewVersion(checkpoint, wanted)) {
            requests.add(request(checkpoint, SlotReason.NEW_VERSION, now));
        }
    }

    private Wanted wanted(Checkpoint checkpoint, Instant now) {
        ModelName name = checkpoint.name();
        ModelActivation wake = mState.wakes().of(name);
        int forWake = wake == null ? 0 : mPolicies.wakes().replicasWanted(wake);
        int forUse = neededForUse(name);
        int minimum = mState.limits().forModel(name).minimumReplicas();
        if (wake != null && forWake >= forUse) {
            return new Wanted(forWake, SlotReason.WAKE);
        }
        if (forUse > minimum) {
            return new Wanted(forUse, SlotReason.SCALE_OUT);
        }
        if (minimum > 0) {
            return new Wanted(minimum, SlotReason.MINIMUM);
        }
        return new Wanted(expectsUse(checkpoint, now) ? 1 : 0, SlotReason.PREWARM);
    }

    private int neededForUse(ModelName name) {
        int demand = mState.use().demand(name);
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

    /** Returns whether the policy wants the model loaded ahead of its use. */
    boolean expectsUse(Checkpoint checkpoint, Instant now) {
        ModelActivity activity = mState.use().of(checkpoint.name());
        if (activity == null) {
            return false;
        }
        Duration coldStart = coldStart(checkpoint);
        return mPolicies
                .keepAlive()
                .expectsUse(activity.history(), now, coldStart, mState.limits().keepAlive());
    }

    /** Returns how long a caller waits for a load of the model. */
    Duration coldStart(Checkpoint checkpoint) {
        return mState.loadTimes().estimate(checkpoint, CheckpointLocation.REMOTE);
    }

    private boolean needsNewVersion(Checkpoint checkpoint, Wanted wanted) {
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
        return outdated && hasRoom && wanted.replicas() > 0;
    }

    private LoadRequest request(Checkpoint checkpoint, SlotReason reason, Instant now) {
        Instant expected = now.plus(coldStart(checkpoint));
        ModelActivation wake = mState.wakes().of(checkpoint.name());
        if (reason == SlotReason.WAKE && wake != null) {
            return new LoadRequest(
                    checkpoint,
                    wake.earliestDeadline(),
                    expected,
                    wake.waiting(),
                    wake.firstAt(),
                    reason);
        }
        return new LoadRequest(checkpoint, now.plus(within(reason)), expected, 0, now, reason);
    }

    private static Duration within(SlotReason reason) {
        return Map.of(
                        SlotReason.MINIMUM, MINIMUM_WITHIN,
                        SlotReason.PREWARM, PREWARM_WITHIN,
                        SlotReason.NEW_VERSION, NEW_VERSION_WITHIN)
                .getOrDefault(reason, SCALE_OUT_WITHIN);
    }

    private record Wanted(int replicas, SlotReason reason) {}
}
