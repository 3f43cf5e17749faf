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
 * Reports to daemons how long calls for a model will have to wait, so that they can immediately
 * refuse calls with earlier deadlines: until a load in progress ends, until the runner with the
 * only copy can load it, or until the weight store is free.
 */
final class ReadinessEstimator {
    /** The interval at which an estimate is reported again while calls wait. */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(400);

    private final RunnerFleet mFleet;
    private final DemandTracker mDemand;
    private final ResidencyLoadPlanner mLoadPlanner;
    private final StoreConcurrency mStoreConcurrency;
    private final Map<Target.ServiceModelTarget, Instant> mReportedAt = new HashMap<>();

    ReadinessEstimator(
            RunnerFleet fleet,
            DemandTracker demand,
            ResidencyLoadPlanner loadPlanner,
            StoreConcurrency storeConcurrency) {
        mFleet = fleet;
        mDemand = demand;
        mLoadPlanner = loadPlanner;
        mStoreConcurrency = storeConcurrency;
    }

    /**
     * Reports the estimates of models for which calls wait and which no runner holds.
     *
     * @param waiting the models and adapters for which calls wait
     */
    void report(List<Target.ServiceModelTarget> waiting, DecisionContext context) {
        List<ResidencyLoadPlanner.StoreCandidate> queue = null;
        for (Target.ServiceModelTarget target : waiting) {
            Instant reportedAt = mReportedAt.get(target);
            if (reportedAt != null && reportedAt.plus(REPORT_INTERVAL).isAfter(context.now())) {
                continue;
            }
            ModelName model = target.model().base();
            if (mFleet.replicas(target.service(), model) > 0) {
                continue;
            }
            queue = queue == null ? mLoadPlanner.storeCandidates(context.now()) : queue;
            Duration readyAfter = readyAfter(target.service(), model, queue, context.now());
            if (readyAfter != null) {
                mReportedAt.put(target, context.now());
                context.add(
                        new ResidencyDecision.ReportReadiness(
                                target, readyAfter, mDemand.waitingDaemons(target, context.now())));
            }
        }
        mReportedAt.values().removeIf(at -> at.plus(REPORT_INTERVAL).isBefore(context.now()));
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
        Duration fromCopy = readyFromCopy(service, description, now);
        if (fromCopy != null) {
            return fromCopy;
        }
        int position = position(service, model, queue);
        if (position < 0) {
            return null;
        }
        // Rounds of concurrent store loads, with one load in addition to those ahead in the queue.
        long rounds = 1L + (position + 1L) / mStoreConcurrency.limit();
        return description.storeLoad().multipliedBy(rounds);
    }

    /**
     * Returns how long a load from a local copy takes, including the wait for loads in progress on
     * the runners with a copy; null if no runner has one.
     */
    private @Nullable Duration readyFromCopy(ServiceName service, EngineModel model, Instant now) {
        Duration soonest = null;
        for (RunnerRecord record : mFleet.usable(service)) {
            if (record.needsStore(model.name())) {
                continue;
            }
            Instant busyUntil = record.loadEnd();
            Duration wait = busyUntil == null ? Duration.ZERO : until(busyUntil, now);
            Duration ready = wait.plus(record.loadTime(model));
            soonest = soonest == null || ready.compareTo(soonest) < 0 ? ready : soonest;
        }
        return soonest;
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

    /**
     * Returns the time until the expected end of a load. A load that takes longer than expected is
     * assumed to take as much longer again: the weight store may be slow for minutes.
     */
    private static Duration until(Instant end, Instant now) {
        return end.isAfter(now)
                ? Duration.between(now, end)
                : Duration.between(end, now).plus(OrderSequencer.REPORT_LAG);
    }
}
