package org.oleanderspring.core.residency.command;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ResidencyOrderKind;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.routing.Target;

/**
 * Plans the loads of models for which calls wait and that no runner holds.
 *
 * <p>A load from the weight store takes many times as long as one from a copy, and occupies its
 * runner meanwhile. More of them at once than the store serves at full speed would only share its
 * bandwidth: all would end later and none sooner, on more runners that can do nothing else. So only
 * that many are planned at once, and the others wait without occupying a runner.
 */
final class LoadPlanner {
    /** What it costs a waiting call for an adapter that its runner can take no order. */
    private static final double BLOCKED_COST = 0.2;

    private final RunnerFleet mFleet;
    private final DemandBook mDemand;
    private final ModelEviction mEviction;
    private final int mStoreLoadsAtOnce;

    LoadPlanner(RunnerFleet fleet, DemandBook demand, int storeLoadsAtOnce) {
        mFleet = fleet;
        mDemand = demand;
        mEviction = new ModelEviction(fleet, demand);
        mStoreLoadsAtOnce = storeLoadsAtOnce;
    }

    void plan(ResidencyTurn turn) {
        Set<ModelName> seen = new HashSet<>();
        for (Target.ServedModelTarget target : mDemand.waiting(turn.now())) {
            ModelName model = target.model().base();
            if (seen.add(model)) {
                planWaiting(target.service(), model, turn.now());
            }
        }
        planCopies(turn.now());
    }

    private void planWaiting(ServiceName service, ModelName model, Instant now) {
        EngineDescription engine = mFleet.engine(service);
        EngineModel description = engine == null ? null : engine.models().get(model);
        if (description == null
                || mFleet.replicas(service, model) > 0
                || mFleet.isLoading(service, model)) {
            return;
        }
        boolean fromStore = !mFleet.hasCopyInReach(service, model);
        if (fromStore && mFleet.storeLoads() >= mStoreLoadsAtOnce) {
            return;
        }
        planBest(service, description, fromStore, "calls wait", now);
    }

    /**
     * Brings models of which no runner has the weights to one, while the store has nothing else.
     */
    private void planCopies(Instant now) {
        for (ServiceName service : mFleet.services()) {
            EngineDescription engine = mFleet.engine(service);
            if (engine == null) {
                continue;
            }
            for (EngineModel model : engine.models().values()) {
                if (mFleet.storeLoads() >= mStoreLoadsAtOnce) {
                    return;
                }
                if (!mFleet.hasCopy(service, model.name())
                        && !mFleet.isLoading(service, model.name())) {
                    planBest(service, model, true, "no runner has a copy", now);
                }
            }
        }
    }

    private void planBest(
            ServiceName service, EngineModel model, boolean fromStore, String reason, Instant now) {
        Choice best = null;
        for (RunnerRecord record : mFleet.usable(service)) {
            if (record.needsStore(model.name()) && !fromStore) {
                continue;
            }
            Choice choice = choice(record, model, now);
            if (choice != null && (best == null || choice.cost() < best.cost())) {
                best = choice;
            }
        }
        if (best != null) {
            best.plan(model.name(), reason);
        }
    }

    private @Nullable Choice choice(RunnerRecord record, EngineModel model, Instant now) {
        if (!record.isFree()) {
            return null;
        }
        Optional<EvictionChoice> eviction = mEviction.choose(record, model.weightMegabytes(), now);
        if (eviction.isEmpty()) {
            return null;
        }
        double seconds = record.loadTime(model).toMillis() / 1_000.0;
        double cost = seconds + eviction.get().cost();
        cost += seconds * blockedRate(record, now) * BLOCKED_COST;
        return new Choice(record, eviction.get(), cost);
    }

    /** Returns the calls a second for adapters that only this runner could load. */
    private double blockedRate(RunnerRecord record, Instant now) {
        ServiceName service = record.entry().service();
        double rate = 0;
        for (ModelName model : record.models()) {
            int replicas = Math.max(1, mFleet.replicas(service, model));
            rate += mDemand.adapterRate(service, model, now) / replicas;
        }
        return rate;
    }

    /** One runner that could load the model. */
    private record Choice(RunnerRecord record, EvictionChoice eviction, double cost) {
        void plan(ModelName model, String reason) {
            for (ModelName victim : eviction.victims()) {
                record.steps()
                        .addLast(
                                new ModelStep(
                                        ResidencyOrderKind.UNLOAD,
                                        victim,
                                        "makes way for " + model));
            }
            String source = record.needsStore(model) ? "from the weight store" : "from a copy";
            record.steps()
                    .addLast(new ModelStep(ResidencyOrderKind.LOAD, model, reason + ", " + source));
        }
    }
}
