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

/** Tells routers when woken models become ready, once for each notable change. */
final class ReadinessReports {
    /** Smaller changes of an estimate are not told. */
    private static final Duration NOTABLE = Duration.ofMillis(250);

    /** An overdue load is expected to take its estimate again, but at least this long. */
    private static final Duration SHORTEST_EXTENSION = Duration.ofSeconds(1);

    private final CellState mState;

    ReadinessReports(CellState state) {
        mState = state;
    }

    /** Answers all wakes; {@code pending} has the estimates of loads that could not be reserved. */
    void answer(Map<ModelName, Readiness> pending, Instant now, List<PlacementDecision> out) {
        for (ModelActivation wake : List.copyOf(mState.wakes().all())) {
            Readiness readiness = readiness(wake.model(), pending, now);
            if (isNotable(wake.lastEstimate(), readiness)) {
                wake.setLastEstimate(readiness);
                out.add(new PlacementDecision.ReportReadiness(wake.model(), readiness));
            }
            if (hasReadySlot(wake.model())) {
                mState.wakes().remove(wake.model());
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
        Duration step = load.compareTo(SHORTEST_EXTENSION) > 0 ? load : SHORTEST_EXTENSION;
        while (!ready.isAfter(now)) {
            ready = ready.plus(step);
        }
        return ready;
    }

    private static boolean isNotable(@Nullable Readiness last, Readiness next) {
        if (last instanceof Readiness.ReadyAt before && next instanceof Readiness.ReadyAt after) {
            return Duration.between(before.at(), after.at()).abs().compareTo(NOTABLE) >= 0;
        }
        return !next.equals(last);
    }
}
