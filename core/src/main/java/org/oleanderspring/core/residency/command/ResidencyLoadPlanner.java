package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
 * Plans the loads of models that no runner holds and additional replicas of busy models.
 *
 * <p>A load from the weight store takes many times as long as a load from a local copy and blocks
 * its runner in the meantime. More concurrent loads than the weight store serves at full speed
 * would only share its bandwidth: all of them would finish later, and more runners would be
 * blocked. Therefore at most that number is planned at a time, in order of demand, and the others
 * wait without occupying a runner. While the weight store would otherwise be idle, models of which
 * no runner has a copy are prefetched.
 */
final class ResidencyLoadPlanner {
    /**
     * The weight of blocked adapter loads in the cost of a load, per adapter call that cannot be
     * served while the runner executes the load.
     */
    private static final double BLOCKED_CALL_COST = 0.2;

    /** The time span, in seconds, whose expected arrivals count as much as waiting calls. */
    private static final double ARRIVAL_HORIZON_SECONDS = 4;

    /**
     * The time, in seconds, for which a model has been asked for in vain that counts as much as one
     * waiting call, so that models with few calls are loaded eventually.
     */
    private static final double UNSERVED_SECONDS_PER_CALL = 10;

    /**
     * From this call rate per second on, a model gets copies on {@link #BUSY_COPIES} runners,
     * because one of them may leave.
     */
    private static final double BUSY_RATE = 0.5;

    private static final int BUSY_COPIES = 2;

    /** The share of its slots that a replica should use; more of them make calls wait. */
    private static final double REPLICA_UTILIZATION = 0.75;

    /** From this call rate per second on, a second replica is worth its memory. */
    private static final double SECOND_REPLICA_RATE = 3;

    private static final int MAX_REPLICAS = 6;

    /**
     * The cost, in seconds, of a load on a runner whose limit for the rate of its calls is used up;
     * more than that of loads from copies elsewhere.
     */
    private static final double USED_LIMIT_COST = 10;

    /**
     * The maximum by which the eviction cost of a prefetch may exceed its demand, so that a model
     * in use is not evicted for one without calls.
     */
    private static final double PREFETCH_COST_LIMIT = 0.05;

    private final RunnerFleet mFleet;
    private final DemandTracker mDemand;
    private final EvictionPlanner mEvictionPlanner;
    private final ModelCapacity mCapacity;
    private final StoreConcurrency mStoreConcurrency;

    ResidencyLoadPlanner(
            RunnerFleet fleet, DemandTracker demand, StoreConcurrency storeConcurrency) {
        mFleet = fleet;
        mDemand = demand;
        mCapacity = new ModelCapacity(fleet, demand);
        mEvictionPlanner = new EvictionPlanner(fleet, demand, mCapacity);
        mStoreConcurrency = storeConcurrency;
    }

    /**
     * Plans loads from local copies for waiting calls.
     *
     * @param waiting the models and adapters for which calls wait, the most urgent first
     */
    void planWaiting(List<Target.ServiceModelTarget> waiting, DecisionContext context) {
        Set<ModelName> seen = new HashSet<>();
        for (Target.ServiceModelTarget target : waiting) {
            ModelName model = target.model().base();
            if (!seen.add(model)) {
                continue;
            }
            if (mFleet.replicas(target.service(), model) > 0) {
                mDemand.markServed(
                        new Target.ServiceModelTarget(
                                target.service(), target.model().withoutAdapter()));
                continue;
            }
            planFromCopy(target.service(), model, context.now());
        }
    }

    /** Plans replicas of busy models and loads from the weight store. */
    void planFleet(DecisionContext context) {
        mStoreConcurrency.observe(mFleet.records(), context.now());
        planReplicas(context.now());
        for (StoreCandidate candidate : storeCandidates(context.now())) {
            if (mFleet.storeLoads() >= mStoreConcurrency.limit()) {
                return;
            }
            planFromStore(candidate, context.now());
        }
    }

    private void planFromCopy(ServiceName service, ModelName model, Instant now) {
        EngineDescription engine = mFleet.engine(service);
        EngineModel description = engine == null ? null : engine.models().get(model);
        if (description == null
                || mFleet.isLoading(service, model)
                || !mFleet.hasLoadableCopy(service, model)) {
            return;
        }
        LoadOption best = bestOption(service, description, Source.COPY, now);
        if (best != null) {
            best.addSteps(model, "calls wait");
        }
    }

    /**
     * Plans additional replicas of busy models on runners that have a local copy of the weights.
     */
    private void planReplicas(Instant now) {
        for (ServiceName service : mFleet.services()) {
            EngineDescription engine = mFleet.engine(service);
            if (engine == null) {
                continue;
            }
            for (EngineModel model : engine.models().values()) {
                if (needsReplica(service, model.name(), engine, now)) {
                    planReplica(service, model, now);
                }
            }
        }
    }

    /** Returns whether the calls of a model that has replicas need another one. */
    private boolean needsReplica(
            ServiceName service, ModelName model, EngineDescription engine, Instant now) {
        int replicas = mFleet.replicas(service, model);
        if (replicas == 0 || mFleet.unlimitedReplicas(service, model, now) >= MAX_REPLICAS) {
            return false;
        }
        double calls = mCapacity.calls(service, model, now);
        double capacity = mCapacity.ofReplicas(service, model, engine, now);
        return calls > REPLICA_UTILIZATION * capacity
                || replicas < 2 && mDemand.rate(service, model, now) > SECOND_REPLICA_RATE;
    }

    private void planReplica(ServiceName service, EngineModel model, Instant now) {
        if (mFleet.isLoading(service, model.name())) {
            return;
        }
        LoadOption best = bestOption(service, model, Source.COPY, now);
        if (best != null
                && best.eviction().cost()
                        < mCapacity.rateOfNewReplica(best.record(), model.name(), now)) {
            best.addSteps(model.name(), "busy model");
        }
    }

    /**
     * Returns the models that should be loaded from the weight store: first those that calls ask
     * for in vain, then further copies, each in order of decreasing demand.
     */
    List<StoreCandidate> storeCandidates(Instant now) {
        List<StoreCandidate> candidates = new ArrayList<>();
        for (ServiceName service : mFleet.services()) {
            EngineDescription engine = mFleet.engine(service);
            if (engine == null) {
                continue;
            }
            for (EngineModel model : engine.models().values()) {
                StoreCandidate candidate = candidate(service, model, engine, now);
                if (candidate != null) {
                    candidates.add(candidate);
                }
            }
        }
        candidates.sort(
                Comparator.comparing(StoreCandidate::isUnserved)
                        .thenComparingDouble(StoreCandidate::demand)
                        .reversed()
                        .thenComparing(candidate -> candidate.model().name()));
        return candidates;
    }

    private @Nullable StoreCandidate candidate(
            ServiceName service, EngineModel model, EngineDescription engine, Instant now) {
        ModelName name = model.name();
        if (mFleet.isLoading(service, name)) {
            return null;
        }
        int copies = mFleet.copies(service, name);
        double rate = mDemand.rate(service, name, now);
        boolean isReachable =
                mFleet.replicas(service, name) > 0 || mFleet.hasLoadableCopy(service, name);
        int waiting = isReachable ? 0 : mDemand.waiting(service, name, now);
        int overload = overload(service, name, engine, copies, now);
        boolean isWanted = copies == 0 || waiting > 0 || overload > 0;
        if (!isWanted && (rate < BUSY_RATE || copies >= BUSY_COPIES)) {
            return null;
        }
        Duration unservedFor =
                isReachable ? Duration.ZERO : mDemand.unservedFor(service, name, now);
        double demand = waiting + overload + ARRIVAL_HORIZON_SECONDS * rate / (1 + copies);
        demand += unservedFor.toMillis() / 1_000.0 / UNSERVED_SECONDS_PER_CALL;
        boolean isUnserved = !unservedFor.isZero() || overload > 0;
        return new StoreCandidate(service, model, waiting, isUnserved, demand);
    }

    /**
     * Returns the number of calls that the runners with a copy of a model cannot run at a time.
     * These calls are as good as unserved: they wait at full runners until their callers give up.
     */
    private int overload(
            ServiceName service,
            ModelName model,
            EngineDescription engine,
            int copies,
            Instant now) {
        if (copies == 0 || mFleet.unlimitedCopies(service, model, now) >= MAX_REPLICAS) {
            return 0;
        }
        double running = mCapacity.running(service, model, now);
        return (int) Math.max(0, running - mCapacity.ofCopies(service, model, engine, now));
    }

    private void planFromStore(StoreCandidate candidate, Instant now) {
        LoadOption best = bestOption(candidate.service(), candidate.model(), Source.STORE, now);
        if (best == null) {
            return;
        }
        if (candidate.waiting() > 0) {
            best.addSteps(candidate.model().name(), "calls wait");
        } else if (best.eviction().cost() <= PREFETCH_COST_LIMIT + candidate.demand()) {
            best.addSteps(candidate.model().name(), "too few copies");
        }
    }

    private @Nullable LoadOption bestOption(
            ServiceName service, EngineModel model, Source source, Instant now) {
        LoadOption best = null;
        Map<ModelName, Integer> copies = source == Source.STORE ? mFleet.copies(service) : Map.of();
        // A further replica on a runner whose limit is used up would serve no further calls.
        boolean isReplicated = mFleet.replicas(service, model.name()) > 0;
        for (RunnerRecord record : mFleet.usable(service)) {
            boolean isCandidate =
                    source == Source.STORE
                            ? !record.hasCopy(model.name())
                            : !record.needsStore(model.name())
                                    && !record.models().contains(model.name());
            if (!isCandidate || isReplicated && mCapacity.isLimitUsed(record, now)) {
                continue;
            }
            LoadOption option = option(record, model, copies, now);
            if (option != null && (best == null || option.cost() < best.cost())) {
                best = option;
            }
        }
        return best;
    }

    private @Nullable LoadOption option(
            RunnerRecord record, EngineModel model, Map<ModelName, Integer> copies, Instant now) {
        if (!record.canPlan()) {
            return null;
        }
        Optional<EvictionPlan> eviction =
                mEvictionPlanner.choose(record, model.weightMegabytes(), now);
        if (eviction.isEmpty()) {
            return null;
        }
        double seconds = record.loadTime(model).toMillis() / 1_000.0;
        double cost = seconds + eviction.get().cost();
        cost += seconds * blockedRate(record, now) * BLOCKED_CALL_COST;
        cost += seconds * rateOfOnlyCopies(record, copies, now);
        cost += mCapacity.usedLimit(record, model.name(), now) * USED_LIMIT_COST;
        return new LoadOption(record, eviction.get(), cost);
    }

    /**
     * Returns the adapter call rate per second of the models on this runner, divided by the number
     * of their replicas.
     */
    private double blockedRate(RunnerRecord record, Instant now) {
        ServiceName service = record.registration().service();
        double rate = 0;
        for (ModelName model : record.models()) {
            int replicas = Math.max(1, mFleet.replicas(service, model));
            rate += mDemand.adapterRate(service, model, now) / replicas;
        }
        return rate;
    }

    /**
     * Returns the call rate per second of the models that the runner does not hold and that no
     * other runner has a copy of. Their calls wait until the load ends, because a runner executes
     * one order at a time.
     */
    private double rateOfOnlyCopies(
            RunnerRecord record, Map<ModelName, Integer> copies, Instant now) {
        double rate = 0;
        for (ModelName model : record.copies()) {
            if (!record.models().contains(model) && copies.getOrDefault(model, 0) == 1) {
                rate += mDemand.rate(record.registration().service(), model, now);
            }
        }
        return rate;
    }

    /** The source from which weights are loaded. */
    private enum Source {
        /** The weight store. */
        STORE,
        /** The runner's memory or disk. */
        COPY
    }

    /**
     * A model that should be loaded from the weight store.
     *
     * @param service the service
     * @param model the model
     * @param waiting the number of waiting calls, or 0 if a runner holds the model or can load it
     *     from a local copy
     * @param isUnserved whether calls ask for the model in vain, or more than its copies can serve
     * @param demand the number of these calls, plus the calls expected within {@link
     *     #ARRIVAL_HORIZON_SECONDS} divided by one more than the number of copies, plus one for
     *     each {@link #UNSERVED_SECONDS_PER_CALL} for which calls have asked in vain
     */
    record StoreCandidate(
            ServiceName service,
            EngineModel model,
            int waiting,
            boolean isUnserved,
            double demand) {}

    /** A runner that could load the model, with the eviction that the load needs. */
    private record LoadOption(RunnerRecord record, EvictionPlan eviction, double cost) {
        void addSteps(ModelName model, String reason) {
            for (ModelName victim : eviction.victims()) {
                record.steps()
                        .addLast(
                                new ModelStep(
                                        ResidencyOrderKind.UNLOAD, victim, "evicted for " + model));
            }
            String source =
                    record.needsStore(model) ? "from the weight store" : "from a local copy";
            record.steps()
                    .addLast(new ModelStep(ResidencyOrderKind.LOAD, model, reason + ", " + source));
        }
    }
}
