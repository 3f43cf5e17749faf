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

/** Plans the loads of models for which calls wait and that no runner holds. */
final class LoadPlanner {
    private final RunnerFleet mFleet;
    private final DemandBook mDemand;
    private final ModelEviction mEviction;

    LoadPlanner(RunnerFleet fleet, DemandBook demand) {
        mFleet = fleet;
        mDemand = demand;
        mEviction = new ModelEviction(fleet, demand);
    }

    void plan(ResidencyTurn turn) {
        Set<ModelName> seen = new HashSet<>();
        for (Target.ServedModelTarget target : mDemand.waiting(turn.now())) {
            ModelName model = target.model().base();
            if (seen.add(model)) {
                planModel(target.service(), model, turn.now());
            }
        }
    }

    private void planModel(ServiceName service, ModelName model, Instant now) {
        EngineDescription engine = mFleet.engine(service);
        EngineModel description = engine == null ? null : engine.models().get(model);
        if (description == null
                || mFleet.replicas(service, model) > 0
                || mFleet.isLoading(service, model)) {
            return;
        }
        Choice best = null;
        for (RunnerRecord record : mFleet.usable(service)) {
            Choice choice = choice(record, description, now);
            if (choice != null && (best == null || choice.cost() < best.cost())) {
                best = choice;
            }
        }
        if (best != null) {
            best.plan(model);
        }
    }

    private @Nullable Choice choice(RunnerRecord record, EngineModel model, Instant now) {
        if (!record.isFree()) {
            return null;
        }
        Optional<EvictionChoice> eviction =
                mEviction.choose(record, model.weightMegabytes(), now);
        if (eviction.isEmpty()) {
            return null;
        }
        double seconds = record.loadTime(model).toMillis() / 1_000.0;
        return new Choice(record, eviction.get(), seconds + eviction.get().cost());
    }

    /** One runner that could load the model. */
    private record Choice(RunnerRecord record, EvictionChoice eviction, double cost) {
        void plan(ModelName model) {
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
                    .addLast(
                            new ModelStep(
                                    ResidencyOrderKind.LOAD, model, "calls wait, " + source));
        }
    }
}
