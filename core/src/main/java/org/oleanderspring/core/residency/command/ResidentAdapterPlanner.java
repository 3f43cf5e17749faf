package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ResidencyOrderKind;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.routing.Target;

/** Plans the loads of adapters for which calls wait, next to their models. */
final class ResidentAdapterPlanner {
    /** A daemon that missed a statement asks again this often. */
    private static final Duration REPEAT = Duration.ofMillis(500);

    private static final Duration RECENT_USE = Duration.ofMillis(700);

    private final RunnerFleet mFleet;
    private final DemandBook mDemand;
    private final OrderSequencer mOrders;
    private final Map<Target.ServiceModelTarget, Instant> mPublished = new HashMap<>();

    ResidentAdapterPlanner(RunnerFleet fleet, DemandBook demand, OrderSequencer orders) {
        mFleet = fleet;
        mDemand = demand;
        mOrders = orders;
    }

    void plan(ResidencyTurn turn) {
        for (Target.ServiceModelTarget target : mDemand.waiting(turn.now())) {
            if (target.model().adapter() != null) {
                planAdapter(target, turn);
            }
        }
    }

    /** Tells the daemons whose calls wait that an adapter has arrived. */
    void settled(RunnerRecord record, ModelReference adapter, ResidencyTurn turn) {
        Target.ServiceModelTarget target =
                new Target.ServiceModelTarget(record.entry().service(), adapter);
        mPublished.put(target, turn.now());
        mOrders.publish(record, mDemand.waitingDaemons(target, turn.now()), turn);
    }

    private void planAdapter(Target.ServiceModelTarget target, ResidencyTurn turn) {
        ModelReference adapter = target.model();
        List<RunnerRecord> holders = new ArrayList<>();
        for (RunnerRecord record : mFleet.usable(target.service())) {
            if (record.isIncoming(adapter, turn.now()) || isOrdered(record, adapter)) {
                return;
            }
            if (!record.isOpen(adapter.base())) {
                continue;
            }
            if (record.adapters(adapter.base()).contains(adapter.adapter())) {
                repeat(target, record, turn);
                return;
            }
            if (record.mayBeOrdered() && !record.isChanging()) {
                holders.add(record);
            }
        }
        holders.stream()
                .min(
                        Comparator.comparing(RunnerRecord::adapterCount)
                                .thenComparing(record -> record.entry().id()))
                .ifPresent(record -> load(record, target, turn));
    }

    private static boolean isOrdered(RunnerRecord record, ModelReference adapter) {
        return record.unanswered() != null && record.unanswered().model().equals(adapter);
    }

    private void repeat(Target.ServiceModelTarget target, RunnerRecord record, ResidencyTurn turn) {
        Instant last = mPublished.get(target);
        if (last != null && last.plus(REPEAT).isAfter(turn.now())) {
            return;
        }
        settled(record, target.model(), turn);
    }

    private void load(RunnerRecord record, Target.ServiceModelTarget target, ResidencyTurn turn) {
        EngineModel model = record.engine().models().get(target.model().base());
        if (model == null) {
            return;
        }
        boolean room =
                record.adapterCount() < record.engine().adapterSlots()
                        && model.adapterMegabytes() <= record.freeMegabytes();
        if (room) {
            mOrders.send(record, ResidencyOrderKind.LOAD, target.model(), "calls wait", turn);
            return;
        }
        victim(record, turn.now())
                .ifPresent(
                        victim ->
                                mOrders.send(
                                        record,
                                        ResidencyOrderKind.UNLOAD,
                                        victim,
                                        "makes way for " + target.model(),
                                        turn));
    }

    private Optional<ModelReference> victim(RunnerRecord record, Instant now) {
        ServiceName service = record.entry().service();
        List<ModelReference> candidates = new ArrayList<>();
        for (ModelName model : record.models()) {
            for (String adapter : record.adapters(model)) {
                ModelReference reference = new ModelReference(model, adapter);
                Instant lastUse =
                        mDemand.lastUse(new Target.ServiceModelTarget(service, reference));
                if (lastUse.equals(Instant.MIN) || lastUse.plus(RECENT_USE).isBefore(now)) {
                    candidates.add(reference);
                }
            }
        }
        return candidates.stream()
                .min(
                        Comparator.comparingDouble(
                                        (ModelReference reference) ->
                                                mDemand.rate(
                                                        new Target.ServiceModelTarget(
                                                                service, reference),
                                                        now))
                                .thenComparing(ModelReference::toString));
    }
}
