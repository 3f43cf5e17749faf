package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.route.EngineModel;

/**
 * Chooses the models to unload from a runner, in order of increasing expected cost; see {@link
 * EvictionPlan}. The models are taken one by one until the load fits, so the total cost is not
 * necessarily minimal.
 */
final class EvictionPlanner {
    /**
     * The minimum time for which a loaded model stays, so that it serves the calls that waited for
     * it.
     */
    private static final Duration MIN_STAY = Duration.ofMillis(1_500);

    /**
     * The last replica of a model is not unloaded within this time after the model's last use, so
     * that a model in use stays loaded on at least one runner.
     */
    private static final Duration RECENT_USE = Duration.ofMillis(800);

    /** Multiplies the reload cost of the last replica of a model. */
    private static final double LAST_REPLICA_FACTOR = 4.0;

    /**
     * The additional cost of a model with running calls on any runner of the service, in seconds of
     * waiting time.
     */
    private static final double RUNNING_COST = 0.15;

    /**
     * The cost per replica, in seconds of waiting time, before any demand is known. A model on many
     * runners is assumed to be busy, because the platform initially places busy models on many
     * runners.
     */
    private static final double INITIAL_REPLICA_COST = 0.01;

    private final RunnerFleet mFleet;
    private final DemandTracker mDemand;
    private final ModelCapacity mCapacity;

    EvictionPlanner(RunnerFleet fleet, DemandTracker demand, ModelCapacity capacity) {
        mFleet = fleet;
        mDemand = demand;
        mCapacity = capacity;
    }

    /**
     * Returns the models to unload, cheapest first, so that {@code megabytes} are free on a runner;
     * empty if that is not possible.
     */
    Optional<EvictionPlan> choose(RunnerRecord record, double megabytes, Instant now) {
        double missing = megabytes - record.freeMegabytes();
        List<ModelName> victims = new ArrayList<>();
        if (missing <= 0) {
            return Optional.of(new EvictionPlan(victims, 0));
        }
        List<Candidate> candidates = new ArrayList<>();
        for (ModelName model : record.models()) {
            if (isEvictable(record, model, now)) {
                candidates.add(candidate(record, model, now));
            }
        }
        candidates.sort(
                Comparator.comparingDouble(Candidate::cost).thenComparing(Candidate::model));
        double cost = 0;
        for (Candidate candidate : candidates) {
            if (missing <= 0) {
                break;
            }
            victims.add(candidate.model());
            missing -= candidate.megabytes();
            cost += candidate.cost();
        }
        return missing > 0 ? Optional.empty() : Optional.of(new EvictionPlan(victims, cost));
    }

    private boolean isEvictable(RunnerRecord record, ModelName model, Instant now) {
        if (record.loadedAt(model).plus(MIN_STAY).isAfter(now)) {
            return false;
        }
        ServiceName service = record.registration().service();
        boolean isLastReplica = isLastReplica(record, model, now);
        Instant lastUse = mDemand.lastUse(service, model);
        return !isLastReplica
                || lastUse.equals(Instant.MIN)
                || lastUse.plus(RECENT_USE).isBefore(now);
    }

    /**
     * Returns whether no other runner can take over the calls of a model. Runners that limit the
     * rate of their calls cannot take over those of one that does not, and a replica that makes way
     * for another model cannot take over any.
     */
    private boolean isLastReplica(RunnerRecord record, ModelName model, Instant now) {
        ServiceName service = record.registration().service();
        boolean isUnlimited = record.intake().limit(now) == null;
        return mFleet.keptReplicas(service, model, isUnlimited, now) <= 1;
    }

    private Candidate candidate(RunnerRecord record, ModelName model, Instant now) {
        ServiceName service = record.registration().service();
        int replicas = Math.max(1, mFleet.replicas(service, model));
        double rate = mCapacity.rateAt(record, model, now);
        EngineModel description = record.engine().models().get(model);
        // A model without a description is assumed to load in 1 s.
        double reloadSeconds =
                description == null ? 1 : description.diskLoad().toMillis() / 1_000.0;
        double cost =
                rate
                        * reloadSeconds
                        * (isLastReplica(record, model, now) ? LAST_REPLICA_FACTOR : 1);
        cost += mDemand.running(service, model, now) > 0 ? RUNNING_COST : 0;
        cost += mDemand.isEmpty() ? INITIAL_REPLICA_COST * replicas : 0;
        int adapters = record.adapters(model).size();
        return new Candidate(model, record.megabytes(model, adapters), cost);
    }

    /** A model that may be unloaded. */
    private record Candidate(ModelName model, double megabytes, double cost) {}
}
