package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.routing.Target;

/**
 * Tells daemons how long calls for a model will have to wait, so that they can refuse at once those
 * that cannot wait so long. Only waits for the weight store are long enough to be worth telling.
 */
final class ReadinessEstimator {
    /** Estimates are told again this often while calls wait. */
    private static final Duration REPEAT = Duration.ofMillis(400);

    private final RunnerFleet mFleet;
    private final DemandBook mDemand;
    private final ResidencyLoadPlanner mLoads;
    private final int mStoreLoadsAtOnce;
    private final Map<Target.ServiceModelTarget, Instant> mTold = new HashMap<>();

    ReadinessEstimator(
            RunnerFleet fleet,
            DemandBook demand,
            ResidencyLoadPlanner loads,
            int storeLoadsAtOnce) {
        mFleet = fleet;
        mDemand = demand;
        mLoads = loads;
        mStoreLoadsAtOnce = storeLoadsAtOnce;
    }

    void tell(ResidencyTurn turn) {
        List<ResidencyLoadPlanner.StoreCandidate> queue = null;
        for (Target.ServiceModelTarget target : mDemand.waiting(turn.now())) {
            Instant told = mTold.get(target);
            if (told != null && told.plus(REPEAT).isAfter(turn.now())) {
                continue;
            }
            ModelName model = target.model().base();
            if (mFleet.replicas(target.service(), model) > 0) {
                continue;
            }
            queue = queue == null ? mLoads.storeCandidates(turn.now()) : queue;
            Duration after = readyAfter(target.service(), model, queue, turn.now());
            if (after != null) {
                mTold.put(target, turn.now());
                turn.add(
                        new ResidencyDecision.ReportReadiness(
                                target, after, mDemand.waitingDaemons(target, turn.now())));
            }
        }
        mTold.values().removeIf(at -> at.plus(REPEAT).isBefore(turn.now()));
    }

    private @Nullable Duration readyAfter(
            ServiceName service,
            ModelName model,
            List<ResidencyLoadPlanner.StoreCandidate> queue,
            Instant now) {
        EngineDescription engine = mFleet.engine(service);
        EngineModel description = engine == null ? null : engine.models().get(model);
        if (description == null) {
            return null;
        }
        for (RunnerRecord record : mFleet.usable(service)) {
            Instant end = record.loadEnd();
            if (record.isLoading(model)) {
                return end == null ? record.loadTime(description) : until(end, now);
            }
        }
        int position = position(service, model, queue);
        if (position < 0) {
            return null;
        }
        long rounds = 1L + (position + 1L) / mStoreLoadsAtOnce;
        return description.storeLoad().multipliedBy(rounds);
    }

    private static int position(
            ServiceName service, ModelName model, List<ResidencyLoadPlanner.StoreCandidate> queue) {
        for (int index = 0; index < queue.size(); index++) {
            ResidencyLoadPlanner.StoreCandidate candidate = queue.get(index);
            if (candidate.service().equals(service) && candidate.model().name().equals(model)) {
                return index;
            }
        }
        return -1;
    }

    private static Duration until(Instant end, Instant now) {
        return end.isAfter(now) ? Duration.between(now, end) : Duration.ZERO;
    }
}
