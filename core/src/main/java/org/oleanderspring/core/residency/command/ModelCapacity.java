package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Predicate;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RateLimit;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.route.EngineDescription;

/**
 * Compares the calls for a model with those that its copies can run at a time. A runner that limits
 * the rate of its calls can run as many as begin within the time that a call takes.
 */
final class ModelCapacity {
    private static final double NANOS_PER_SECOND = 1e9;

    /** The part of a runner's limit that one of its models can count on. */
    static final double SHARE_OF_LIMIT = 0.25;

    private final RunnerFleet mFleet;
    private final DemandTracker mDemand;

    ModelCapacity(RunnerFleet fleet, DemandTracker demand) {
        mFleet = fleet;
        mDemand = demand;
    }

    /** Returns the number of calls that run or wait, see {@link #running}. */
    double calls(ServiceName service, ModelName model, Instant now) {
        double arriving = isLimited(service, model, now) ? arriving(service, model, now) : 0;
        int calls = mDemand.running(service, model, now) + mDemand.waiting(service, model, now);
        return Math.max(calls, arriving);
    }

    /**
     * Returns the number of calls that run. If a replica is limited, returns at least the number
     * that would run if each call that arrives were started: limited runners keep calls from
     * running, so the running ones do not show the demand.
     */
    double running(ServiceName service, ModelName model, Instant now) {
        double arriving = isLimited(service, model, now) ? arriving(service, model, now) : 0;
        return Math.max(mDemand.running(service, model, now), arriving);
    }

    private double arriving(ServiceName service, ModelName model, Instant now) {
        return mDemand.rate(service, model, now) * seconds(callTime(service, model, now));
    }

    /** Returns the number of calls that the replicas of a model can run at a time. */
    double ofReplicas(ServiceName service, ModelName model, EngineDescription engine, Instant now) {
        return sum(service, model, engine, now, record -> record.isRoutable(model));
    }

    /**
     * Returns the number of calls that the runners with a copy of a model can run at a time. A
     * limited runner counts only while it holds the model: a load there would not help its calls.
     */
    double ofCopies(ServiceName service, ModelName model, EngineDescription engine, Instant now) {
        return sum(
                service,
                model,
                engine,
                now,
                record ->
                        record.intake().limit(now) == null
                                ? record.hasCopy(model)
                                : record.isRoutable(model));
    }

    /**
     * Returns the part of a model's call rate per second that one of its replicas serves. Limited
     * runners serve no more than their share; the others divide the rest.
     */
    double rateAt(RunnerRecord replica, ModelName model, Instant now) {
        ServiceName service = replica.registration().service();
        double rate = mDemand.rate(service, model, now);
        double equalPart = rate / Math.max(1, mFleet.replicas(service, model));
        RateLimit ownLimit = replica.intake().limit(now);
        if (ownLimit != null) {
            return Math.min(equalPart, SHARE_OF_LIMIT * ownLimit.callsPerSecond());
        }
        int unlimited = 0;
        for (RunnerRecord record : mFleet.usable(service)) {
            if (!record.isRoutable(model)) {
                continue;
            }
            RateLimit limit = record.intake().limit(now);
            unlimited += limit == null ? 1 : 0;
            rate -=
                    limit == null
                            ? 0
                            : Math.min(equalPart, SHARE_OF_LIMIT * limit.callsPerSecond());
        }
        return rate / Math.max(1, unlimited);
    }

    /**
     * Returns the rate of calls per second that a new replica of a model would serve.
     *
     * @param record the runner that would hold it
     */
    double rateOfNewReplica(RunnerRecord record, ModelName model, Instant now) {
        ServiceName service = record.registration().service();
        double rate = mDemand.rate(service, model, now);
        double part = rate / (mFleet.unlimitedReplicas(service, model, now) + 1);
        RateLimit limit = record.intake().limit(now);
        return limit == null ? part : Math.min(part, limit.callsPerSecond() - rateOf(record, now));
    }

    /** Returns whether a runner has a limit of which its models leave too little for another. */
    boolean isLimitUsed(RunnerRecord record, Instant now) {
        RateLimit limit = record.intake().limit(now);
        return limit != null && rateOf(record, now) > (1 - SHARE_OF_LIMIT) * limit.callsPerSecond();
    }

    /**
     * Returns the part of a runner's limit that its models and a new one would use, at most 1; 0 if
     * it has no limit.
     */
    double usedLimit(RunnerRecord record, ModelName added, Instant now) {
        RateLimit limit = record.intake().limit(now);
        if (limit == null) {
            return 0;
        }
        double rate = mDemand.rate(record.registration().service(), added, now);
        return Math.min(1, (rate + rateOf(record, now)) / limit.callsPerSecond());
    }

    /** Returns the call rate per second of the models that a runner holds. */
    private double rateOf(RunnerRecord record, Instant now) {
        double rate = 0;
        for (ModelName model : record.models()) {
            rate += rateAt(record, model, now);
        }
        return rate;
    }

    private double sum(
            ServiceName service,
            ModelName model,
            EngineDescription engine,
            Instant now,
            Predicate<RunnerRecord> counts) {
        double callSeconds = seconds(callTime(service, model, now));
        double sum = 0;
        for (RunnerRecord record : mFleet.usable(service)) {
            if (counts.test(record)) {
                RateLimit limit = record.intake().limit(now);
                sum +=
                        limit == null
                                ? engine.slots()
                                : Math.min(
                                        engine.slots(),
                                        SHARE_OF_LIMIT * limit.callsPerSecond() * callSeconds);
            }
        }
        return sum;
    }

    private boolean isLimited(ServiceName service, ModelName model, Instant now) {
        for (RunnerRecord record : mFleet.usable(service)) {
            if (record.isRoutable(model) && record.intake().limit(now) != null) {
                return true;
            }
        }
        return false;
    }

    private Duration callTime(ServiceName service, ModelName model, Instant now) {
        return mDemand.callTime(service, model, now);
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
