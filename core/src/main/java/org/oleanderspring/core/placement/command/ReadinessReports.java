package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.Readiness;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotState;
import org.oleanderspring.core.placement.UnreadyReason;

/**
 * Reports to routers when models become ready for waiting calls, once for each significant change
 * of the estimate.
 */
final class ReadinessReports {
    /** Smaller changes of an estimate are not reported. */
    private static final Duration MIN_CHANGE = Duration.ofMillis(250);

    /**
     * The estimate of an overdue load is extended by its estimated load time, but at least by this
     * time.
     */
    private static final Duration MIN_EXTENSION = Duration.ofSeconds(1);

    private final CellState mState;

    ReadinessReports(CellState state) {
        mState = state;
    }

    /**
     * Reports the estimates for all pending activations, and removes the activations whose model is
     * ready; {@code pending} contains the estimates of loads that could not be reserved.
     */
    void report(Map<ModelName, Readiness> pending, Instant now, List<PlacementDecision> decisions) {
        for (ModelActivation activation : List.copyOf(mState.activations().all())) {
            Readiness readiness = readiness(activation.model(), pending, now);
            if (isSignificantChange(activation.lastEstimate(), readiness)) {
                activation.setLastEstimate(readiness);
                decisions.add(new PlacementDecision.ReportReadiness(activation.model(), readiness));
            }
            if (hasReadySlot(activation.model())) {
                mState.activations().remove(activation.model());
            }
        }
    }

    private boolean hasReadySlot(ModelName name) {
        return mState.slots().countOf(name, List.of(SlotState.READY)) > 0;
    }

    private Readiness readiness(ModelName name, Map<ModelName, Readiness> pending, Instant now) {
        if (hasReadySlot(name)) {
            return new Readiness.ReadyAt(now);
        }
        Checkpoint checkpoint = mState.checkpoint(name);
        if (checkpoint == null) {
            return new Readiness.NotPossible(UnreadyReason.UNKNOWN_CHECKPOINT);
        }
        Instant earliest = earliestOfSlots(name, now);
        if (earliest != null) {
            return new Readiness.ReadyAt(earliest);
        }
        return pending.getOrDefault(name, new Readiness.NotPossible(UnreadyReason.REPLICA_LIMIT));
    }

    private @Nullable Instant earliestOfSlots(ModelName name, Instant now) {
        Instant earliest = null;
        for (Slot slot : mState.slots().named(name)) {
            if (ReplicaDemand.SERVING.contains(slot.state())) {
                Instant ready = expectedReady(slot, now);
                earliest = earliest == null || ready.isBefore(earliest) ? ready : earliest;
            }
        }
        return earliest;
    }

    private Instant expectedReady(Slot slot, Instant now) {
        Duration load = mState.loadTimes().estimate(slot.checkpoint(), slot.source());
        Instant ready = slot.since().plus(load);
        Slot base = AdapterSlots.baseOf(mState.slots(), slot);
        if (base != null && base.state() == SlotState.LOADING) {
            ready = expectedReady(base, now).plus(load);
        }
        Duration step = load.compareTo(MIN_EXTENSION) > 0 ? load : MIN_EXTENSION;
        while (!ready.isAfter(now)) {
            ready = ready.plus(step);
        }
        return ready;
    }

    private static boolean isSignificantChange(@Nullable Readiness last, Readiness next) {
        if (last instanceof Readiness.ReadyAt before && next instanceof Readiness.ReadyAt after) {
            return Duration.between(before.at(), after.at()).abs().compareTo(MIN_CHANGE) >= 0;
        }
        return !next.equals(last);
    }
}
