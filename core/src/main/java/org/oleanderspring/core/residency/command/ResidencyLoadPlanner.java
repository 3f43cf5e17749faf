package org.oleanderspring.core.residency.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
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
 * Plans the loads of models that no runner holds.
 *
 * <p>A load from the weight store takes many times as long as one from a copy, and occupies its
 * runner meanwhile. More of them at once than the store serves at full speed would only share its
 * bandwidth: all would end later and none sooner, on more runners that can do nothing else. So only
 * that many are planned at once, those with the most demand first, and the others wait without
 * occupying a runner. While the store would be idle, models of which no runner has a copy are
 * fetched before they are asked for.
 */
final class ResidencyLoadPlanner {
    /** What it costs a waiting call for an adapter that its runner can take no order. */
    private static final double BLOCKED_COST = 0.2;

    /** The arrivals of so many seconds count as much as calls that wait now. */
    private static final double RATE_SECONDS = 4;

    /** A model with so many calls a second has copies on two runners, because one may leave. */
    private static final double BUSY_RATE = 0.5;

    private static final int BUSY_COPIES = 2;

    /** Each replica of a busy model takes about so many calls a second with their adapters. */
    private static final double RATE_PER_REPLICA = 3;

    private static final int MOST_REPLICAS = 3;

    /** A model that is in use does not make way for one that nobody asked for yet. */
    private static final double PREFETCH_COST_LIMIT = 0.05;

    private final RunnerFleet mFleet;
    private final DemandBook mDemand;
    private final ModelEviction mEviction;
    private final int mStoreLoadsAtOnce;

    ResidencyLoadPlanner(RunnerFleet fleet, DemandBook demand, int storeLoadsAtOnce) {
        mFleet = fleet;
        mDemand = demand;
        mEviction = new ModelEviction(fleet, demand);
        mStoreLoadsAtOnce = storeLoadsAtOnce;
    }

    /** Plans loads from copies for calls that wait. */
    void planWaiting(ResidencyTurn turn) {
        Set<ModelName> seen = new HashSet<>();
        for (Target.ServiceModelTarget target : mDemand.waiting(turn.now())) {
            ModelName model = target.model().base();
            if (seen.add(model)) {
                planFromCopy(target.service(), model, turn.now());
            }
        }
    }

    /** Plans replicas of busy models and loads from the weight store. */
    void planOverview(ResidencyTurn turn) {
        planReplicas(turn.now());
        for (StoreCandidate candidate : storeCandidates(turn.now())) {
            if (mFleet.storeLoads() >= mStoreLoadsAtOnce) {
                return;
            }
            planFromStore(candidate, turn.now());
        }
    }

    private void planFromCopy(ServiceName service, ModelName model, Instant now) {
        EngineDescription engine = mFleet.engine(service);
        EngineModel description = engine == null ? null : engine.models().get(model);
        if (description == null
                || mFleet.replicas(service, model) > 0
                || mFleet.isLoading(service, model)
                || !mFleet.hasCopyInReach(service, model)) {
            return;
        }
        Choice best = best(service, description, Source.COPY, now);
        if (best != null) {
            best.plan(model, "calls wait");
        }
    }

    /** Gives busy models more replicas on runners that have their weights near. */
    private void planReplicas(Instant now) {
        for (ServiceName service : mFleet.services()) {
            EngineDescription engine = mFleet.engine(service);
            if (engine == null) {
                continue;
            }
            for (EngineModel model : engine.models().values()) {
                if (mDemand.rate(service, model.name(), now) > RATE_PER_REPLICA) {
                    planReplica(service, model, now);
                }
            }
        }
    }

    private void planReplica(ServiceName service, EngineModel model, Instant now) {
        double rate = mDemand.rate(service, model.name(), now);
        int replicas = mFleet.replicas(service, model.name());
        long wanted = Math.min(MOST_REPLICAS, Math.round(Math.ceil(rate / RATE_PER_REPLICA)));
        if (replicas == 0 || replicas >= wanted || mFleet.isLoading(service, model.name())) {
            return;
        }
        Choice best = best(service, model, Source.COPY, now);
        if (best != null && best.eviction().cost() < rate / (replicas + 1)) {
            best.plan(model.name(), "busy model");
        }
    }

    /** Returns the models that the weight store should bring, those with most demand first. */
    List<StoreCandidate> storeCandidates(Instant now) {
        List<StoreCandidate> candidates = new ArrayList<>();
        for (ServiceName service : mFleet.services()) {
            EngineDescription engine = mFleet.engine(service);
            if (engine == null) {
                continue;
            }
            for (EngineModel model : engine.models().values()) {
                StoreCandidate candidate = candidate(service, model, now);
                if (candidate != null) {
                    candidates.add(candidate);
                }
            }
        }
        candidates.sort(
                Comparator.comparingDouble(StoreCandidate::demand)
                        .reversed()
                        .thenComparing(candidate -> candidate.model().name()));
        return candidates;
    }

    private @Nullable StoreCandidate candidate(
            ServiceName service, EngineModel model, Instant now) {
        ModelName name = model.name();
        if (mFleet.isLoading(service, name)) {
            return null;
        }
        int copies = mFleet.copies(service, name);
        double rate = mDemand.rate(service, name, now);
        boolean reachable =
                mFleet.replicas(service, name) > 0 || mFleet.hasCopyInReach(service, name);
        int waiting = reachable ? 0 : mDemand.waiting(service, name, now);
        boolean wanted = copies == 0 || waiting > 0;
        if (!wanted && (rate < BUSY_RATE || copies >= BUSY_COPIES)) {
            return null;
        }
        double demand = waiting + RATE_SECONDS * rate / (1 + copies);
        return new StoreCandidate(service, model, waiting, demand);
    }

    private void planFromStore(StoreCandidate candidate, Instant now) {
        Choice best = best(candidate.service(), candidate.model(), Source.STORE, now);
        if (best == null) {
            return;
        }
        if (candidate.waiting() > 0) {
            best.plan(candidate.model().name(), "calls wait");
        } else if (best.eviction().cost() <= PREFETCH_COST_LIMIT + candidate.demand()) {
            best.plan(candidate.model().name(), "too few copies");
        }
    }

    private @Nullable Choice best(
            ServiceName service, EngineModel model, Source source, Instant now) {
        Choice best = null;
        for (RunnerRecord record : mFleet.usable(service)) {
            boolean fits =
                    source == Source.STORE
                            ? !record.hasCopy(model.name())
                            : !record.needsStore(model.name())
                                    && !record.models().contains(model.name());
            if (!fits) {
                continue;
            }
            Choice choice = choice(record, model, now);
            if (choice != null && (best == null || choice.cost() < best.cost())) {
                best = choice;
            }
        }
        return best;
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

    /** Where the weights of a load come from. */
    private enum Source {
        /** The weight store. */
        STORE,
        /** The runner's memory or disk. */
        COPY
    }

    /**
     * A model that only the weight store can bring.
     *
     * @param service the service
     * @param model the model
     * @param waiting how many calls wait for it
     * @param demand the calls that wait and will soon arrive
     */
    record StoreCandidate(ServiceName service, EngineModel model, int waiting, double demand) {}

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
