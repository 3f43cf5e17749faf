package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ResidencyOrderKind;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.routing.Target;

/** Plans the loads of adapters for which calls wait, on runners that hold their base models. */
final class ResidencyAdapterPlanner {
    /** An adapter is not unloaded within this time after its last use. */
    private static final Duration RECENT_USE = Duration.ofMillis(700);

    private final RunnerFleet mFleet;
    private final DemandTracker mDemand;
    private final OrderSequencer mSequencer;

    ResidencyAdapterPlanner(RunnerFleet fleet, DemandTracker demand, OrderSequencer sequencer) {
        mFleet = fleet;
        mDemand = demand;
        mSequencer = sequencer;
    }

    /**
     * Sends an order for each adapter for which calls wait and that no runner holds or loads, to
     * the runner with the fewest adapters among those that hold the base model. The order is a
     * load, or the unload of another adapter if the runner has no room.
     *
     * @param waiting the models and adapters for which calls wait, the most urgent first
     */
    void plan(List<Target.ServiceModelTarget> waiting, DecisionContext context) {
        for (Target.ServiceModelTarget target : waiting) {
            if (target.model().adapter() != null) {
                planAdapter(target, context);
            }
        }
    }

    /** Publishes to the daemons with waiting calls that a runner holds an adapter. */
    void adapterLoaded(RunnerRecord record, ModelReference adapter, DecisionContext context) {
        Target.ServiceModelTarget target =
                new Target.ServiceModelTarget(record.registration().service(), adapter);
        mSequencer.publish(record, mDemand.waitingDaemons(target, context.now()), context);
    }

    private void planAdapter(Target.ServiceModelTarget target, DecisionContext context) {
        ModelReference adapter = target.model();
        List<RunnerRecord> candidates = new ArrayList<>();
        for (RunnerRecord record : mFleet.usable(target.service())) {
            if (record.isIncoming(adapter, context.now()) || isOrdered(record, adapter)) {
                return;
            }
            if (!record.isRoutable(adapter.base())) {
                continue;
            }
            if (record.adapters(adapter.base()).contains(adapter.adapter())) {
                mDemand.markServed(target);
                return;
            }
            if (record.mayBeOrdered() && !record.isExecutingOrder()) {
                candidates.add(record);
            }
        }
        candidates.stream()
                .min(
                        Comparator.comparing(RunnerRecord::adapterCount)
                                .thenComparing(record -> record.registration().id()))
                .ifPresent(record -> load(record, target, context));
    }

    private static boolean isOrdered(RunnerRecord record, ModelReference adapter) {
        return record.unanswered() != null && record.unanswered().model().equals(adapter);
    }

    private void load(
            RunnerRecord record, Target.ServiceModelTarget target, DecisionContext context) {
        EngineModel model = record.engine().models().get(target.model().base());
        if (model == null) {
            return;
        }
        boolean fits =
                record.adapterCount() < record.engine().adapterSlots()
                        && model.adapterMegabytes() <= record.freeMegabytes();
        if (fits) {
            mSequencer.send(record, ResidencyOrderKind.LOAD, target.model(), "calls wait", context);
            return;
        }
        victim(record, context.now())
                .ifPresent(
                        victim ->
                                mSequencer.send(
                                        record,
                                        ResidencyOrderKind.UNLOAD,
                                        victim,
                                        "evicted for " + target.model(),
                                        context));
    }

    private Optional<ModelReference> victim(RunnerRecord record, Instant now) {
        ServiceName service = record.registration().service();
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
