package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ModelDemand;
import org.oleanderspring.core.routing.Target;

/**
 * The calls for all models and adapters, summed over the reports of all daemons.
 *
 * <p>A report replaces the previous one of the same daemon and service. Its waiting and running
 * calls count for {@link #REPORT_VALIDITY}; its arrivals are added to a call rate that decays with
 * {@link #RATE_TIME_CONSTANT}. A request to load a model replaces only the number of waiting calls.
 */
final class DemandTracker {
    /** The waiting and running calls in a report are ignored after this time. */
    static final Duration REPORT_VALIDITY = Duration.ofSeconds(2);

    /** A target that nobody has asked for during this time does not count as unserved. */
    static final Duration UNSERVED_VALIDITY = Duration.ofSeconds(20);

    /** The time of a call that is assumed until longer ones are seen. */
    private static final Duration USUAL_CALL_TIME = Duration.ofSeconds(2);

    /** Below this call rate per second, too few calls run to tell how long they take. */
    private static final double LEAST_MEASURED_RATE = 0.5;

    /** The time constant of the exponential decay of call rates. */
    static final Duration RATE_TIME_CONSTANT = Duration.ofSeconds(6);

    private final Map<Target.ServiceModelTarget, TargetDemand> mDemands = new HashMap<>();

    /**
     * The same entries indexed by model, each with the model's adapters, because most queries are
     * for a model including its adapters.
     */
    private final Map<Target.ServiceModelTarget, List<TargetDemand>> mByModel = new HashMap<>();

    /** Replaces the previous report of a daemon for a service. */
    void applyReport(MemberId daemon, ServiceName service, List<ModelDemand> demands, Instant now) {
        Set<Target.ServiceModelTarget> seen = new HashSet<>();
        for (ModelDemand demand : demands) {
            Target.ServiceModelTarget target =
                    new Target.ServiceModelTarget(service, demand.model());
            seen.add(target);
            demandOf(target).report(daemon, demand, now);
        }
        for (Map.Entry<Target.ServiceModelTarget, TargetDemand> entry : mDemands.entrySet()) {
            if (entry.getKey().service().equals(service) && !seen.contains(entry.getKey())) {
                entry.getValue().mReports.remove(daemon);
            }
        }
    }

    /** Records that calls wait at a daemon. */
    void applyRequest(MemberId daemon, Target.ServiceModelTarget target, int waiting, Instant now) {
        TargetDemand demand = demandOf(target);
        Report previous = demand.mReports.get(daemon);
        int running = previous == null ? 0 : previous.running();
        demand.mReports.put(daemon, new Report(waiting, running, now));
        demand.markUnserved(now);
        demand.mLastUse = now;
    }

    /** Returns whether no calls were reported yet for any model. */
    boolean isEmpty() {
        return mDemands.isEmpty();
    }

    /**
     * Returns the targets for which calls wait. Those that calls have asked for longest without
     * being served come first, so that no target waits behind others for ever.
     */
    List<Target.ServiceModelTarget> waiting(Instant now) {
        List<Target.ServiceModelTarget> waiting = new ArrayList<>();
        for (Map.Entry<Target.ServiceModelTarget, TargetDemand> entry : mDemands.entrySet()) {
            if (entry.getValue().waiting(now) > 0) {
                waiting.add(entry.getKey());
            }
        }
        waiting.sort(
                Comparator.comparing(this::waitingSince)
                        .thenComparing(Target.ServiceModelTarget::toString));
        return waiting;
    }

    private Instant waitingSince(Target.ServiceModelTarget target) {
        Instant since = demandOf(target).mUnservedSince;
        return since == null ? Instant.MAX : since;
    }

    /**
     * Returns how long calls have asked for a model or its adapters without being served; zero if
     * they were, or if nobody has asked lately.
     */
    Duration unservedFor(ServiceName service, ModelName model, Instant now) {
        Instant since = now;
        for (TargetDemand demand : demandsOf(service, model)) {
            Instant unserved = demand.unservedSince(now);
            since = unserved != null && unserved.isBefore(since) ? unserved : since;
        }
        return Duration.between(since, now);
    }

    /** Returns the daemons at which calls for a target wait. */
    Set<MemberId> waitingDaemons(Target.ServiceModelTarget target, Instant now) {
        Set<MemberId> daemons = new HashSet<>();
        TargetDemand demand = mDemands.get(target);
        if (demand == null) {
            return daemons;
        }
        demand.mReports.forEach(
                (daemon, report) -> {
                    if (report.isValid(now) && report.waiting() > 0) {
                        daemons.add(daemon);
                    }
                });
        return daemons;
    }

    /**
     * Returns the targets for which calls have waited lately and that were not marked as served
     * since, with the time of the first of these calls.
     */
    Map<Target.ServiceModelTarget, Instant> unservedSince(Instant now) {
        Map<Target.ServiceModelTarget, Instant> unserved = new HashMap<>();
        mDemands.forEach(
                (target, demand) -> {
                    Instant since = demand.unservedSince(now);
                    if (since != null) {
                        unserved.put(target, since);
                    }
                });
        return unserved;
    }

    /** Records that a runner holds a target, so that its calls no longer wait for a load. */
    void markServed(Target.ServiceModelTarget target) {
        demandOf(target).mUnservedSince = null;
    }

    /** Returns the number of waiting calls for exactly this model or adapter. */
    int waiting(Target.ServiceModelTarget target, Instant now) {
        TargetDemand demand = mDemands.get(target);
        return demand == null ? 0 : demand.waiting(now);
    }

    /** Returns the number of waiting calls for a model, including those for its adapters. */
    int waiting(ServiceName service, ModelName model, Instant now) {
        int waiting = 0;
        for (TargetDemand demand : demandsOf(service, model)) {
            waiting += demand.waiting(now);
        }
        return waiting;
    }

    /** Returns the number of running calls for a model, including those for its adapters. */
    int running(ServiceName service, ModelName model, Instant now) {
        int running = 0;
        for (TargetDemand demand : demandsOf(service, model)) {
            running += demand.running(now);
        }
        return running;
    }

    /** Returns the call rate of a model per second, including its adapters. */
    double rate(ServiceName service, ModelName model, Instant now) {
        double rate = 0;
        for (TargetDemand demand : demandsOf(service, model)) {
            rate += demand.rate(now);
        }
        return rate;
    }

    /** Returns how long a call for a model takes on average, by the calls that run and arrive. */
    Duration callTime(ServiceName service, ModelName model, Instant now) {
        double rate = rate(service, model, now);
        if (rate < LEAST_MEASURED_RATE) {
            return USUAL_CALL_TIME;
        }
        Duration time = Duration.ofMillis((long) (1_000 * running(service, model, now) / rate));
        return time.compareTo(USUAL_CALL_TIME) > 0 ? time : USUAL_CALL_TIME;
    }

    /** Returns the call rate of all adapters of a model per second. */
    double adapterRate(ServiceName service, ModelName model, Instant now) {
        Target.ServiceModelTarget base =
                new Target.ServiceModelTarget(service, new ModelReference(model, null));
        return rate(service, model, now) - rate(base, now);
    }

    /** Returns the call rate of exactly this model or adapter per second. */
    double rate(Target.ServiceModelTarget target, Instant now) {
        TargetDemand demand = mDemands.get(target);
        return demand == null ? 0 : demand.rate(now);
    }

    /**
     * Returns the time of the last use of a model or its adapters, or {@link Instant#MIN} if there
     * was none.
     */
    Instant lastUse(ServiceName service, ModelName model) {
        Instant last = Instant.MIN;
        for (TargetDemand demand : demandsOf(service, model)) {
            last = demand.mLastUse.isAfter(last) ? demand.mLastUse : last;
        }
        return last;
    }

    /**
     * Returns the time of the last use of exactly this model or adapter, or {@link Instant#MIN} if
     * there was none.
     */
    Instant lastUse(Target.ServiceModelTarget target) {
        TargetDemand demand = mDemands.get(target);
        return demand == null ? Instant.MIN : demand.mLastUse;
    }

    private List<TargetDemand> demandsOf(ServiceName service, ModelName model) {
        return mByModel.getOrDefault(
                new Target.ServiceModelTarget(service, new ModelReference(model, null)), List.of());
    }

    private TargetDemand demandOf(Target.ServiceModelTarget target) {
        TargetDemand demand = mDemands.get(target);
        if (demand == null) {
            demand = new TargetDemand();
            mDemands.put(target, demand);
            Target.ServiceModelTarget model =
                    new Target.ServiceModelTarget(
                            target.service(), target.model().withoutAdapter());
            mByModel.computeIfAbsent(model, key -> new ArrayList<>()).add(demand);
        }
        return demand;
    }

    /** The calls that one daemon reported for one target. */
    private record Report(int waiting, int running, Instant at) {
        boolean isValid(Instant now) {
            return at.plus(REPORT_VALIDITY).isAfter(now);
        }
    }

    /** The reports, call rate and last use of one target. */
    private static final class TargetDemand {
        private final Map<MemberId, Report> mReports = new HashMap<>();
        private double mRate;
        private Instant mRateAt = Instant.MIN;
        private Instant mLastUse = Instant.MIN;

        /** Since when calls have waited without being served; null if none has. */
        private @Nullable Instant mUnservedSince;

        void report(MemberId daemon, ModelDemand demand, Instant now) {
            mReports.put(daemon, new Report(demand.waiting(), demand.running(), now));
            if (demand.waiting() > 0) {
                markUnserved(now);
            }
            if (demand.arrived() > 0) {
                mRate = rate(now) + demand.arrived() / seconds(RATE_TIME_CONSTANT);
                mRateAt = now;
            }
            if (demand.arrived() > 0 || demand.running() > 0 || demand.waiting() > 0) {
                mLastUse = now;
            }
        }

        void markUnserved(Instant now) {
            mUnservedSince = unservedSince(now) == null ? now : mUnservedSince;
        }

        @Nullable Instant unservedSince(Instant now) {
            return mLastUse.plus(UNSERVED_VALIDITY).isBefore(now) ? null : mUnservedSince;
        }

        double rate(Instant now) {
            if (mRate == 0) {
                return 0;
            }
            double age = seconds(Duration.between(mRateAt, now));
            return mRate * Math.exp(-age / seconds(RATE_TIME_CONSTANT));
        }

        int waiting(Instant now) {
            int waiting = 0;
            for (Report report : mReports.values()) {
                waiting += report.isValid(now) ? report.waiting() : 0;
            }
            return waiting;
        }

        int running(Instant now) {
            int running = 0;
            for (Report report : mReports.values()) {
                running += report.isValid(now) ? report.running() : 0;
            }
            return running;
        }

        private static double seconds(Duration duration) {
            return duration.toNanos() / 1e9;
        }
    }
}
