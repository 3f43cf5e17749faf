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
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ModelDemand;
import org.oleanderspring.core.routing.Target;

/** The use of all models and adapters, added up over the daemons that report it. */
final class DemandBook {
    /** A report that is older says nothing about the calls that wait or run now. */
    static final Duration REPORT_VALIDITY = Duration.ofSeconds(2);

    /** Rates follow changes of demand with this time constant. */
    static final Duration RATE_MEMORY = Duration.ofSeconds(6);

    private final Map<Target.ServiceModelTarget, Use> mUses = new HashMap<>();

    /** The same uses by the model without its adapters, which most questions are about. */
    private final Map<Target.ServiceModelTarget, List<Use>> mByModel = new HashMap<>();

    /** Replaces what a daemon reported before of a service. */
    void reported(MemberId daemon, ServiceName service, List<ModelDemand> demands, Instant now) {
        Set<Target.ServiceModelTarget> seen = new HashSet<>();
        for (ModelDemand demand : demands) {
            Target.ServiceModelTarget target =
                    new Target.ServiceModelTarget(service, demand.model());
            seen.add(target);
            use(target).report(daemon, demand, now);
        }
        for (Map.Entry<Target.ServiceModelTarget, Use> entry : mUses.entrySet()) {
            if (entry.getKey().service().equals(service) && !seen.contains(entry.getKey())) {
                entry.getValue().mReports.remove(daemon);
            }
        }
    }

    /** Notes that calls wait at a daemon. */
    void requested(MemberId daemon, Target.ServiceModelTarget target, int waiting, Instant now) {
        Use use = use(target);
        Report before = use.mReports.get(daemon);
        int running = before == null ? 0 : before.running();
        use.mReports.put(daemon, new Report(waiting, running, now));
        use.mRequestedAt = now;
    }

    /** Returns whether no use of any model was reported yet. */
    boolean isEmpty() {
        return mUses.isEmpty();
    }

    /** Returns the targets for which calls wait; first those not asked for again the longest. */
    List<Target.ServiceModelTarget> waiting(Instant now) {
        List<Target.ServiceModelTarget> waiting = new ArrayList<>();
        for (Map.Entry<Target.ServiceModelTarget, Use> entry : mUses.entrySet()) {
            if (entry.getValue().waiting(now) > 0) {
                waiting.add(entry.getKey());
            }
        }
        waiting.sort(
                Comparator.comparing((Target.ServiceModelTarget target) -> use(target).mRequestedAt)
                        .thenComparing(Target.ServiceModelTarget::toString));
        return waiting;
    }

    /** Returns the daemons at which calls wait. */
    Set<MemberId> waitingDaemons(Target.ServiceModelTarget target, Instant now) {
        Set<MemberId> daemons = new HashSet<>();
        Use use = mUses.get(target);
        if (use == null) {
            return daemons;
        }
        use.mReports.forEach(
                (daemon, report) -> {
                    if (report.isValid(now) && report.waiting() > 0) {
                        daemons.add(daemon);
                    }
                });
        return daemons;
    }

    /** Returns the calls that wait, those for the model's adapters included. */
    int waiting(ServiceName service, ModelName model, Instant now) {
        int waiting = 0;
        for (Use use : usesOf(service, model)) {
            waiting += use.waiting(now);
        }
        return waiting;
    }

    /** Returns the calls that run, those for the model's adapters included. */
    int running(ServiceName service, ModelName model, Instant now) {
        int running = 0;
        for (Use use : usesOf(service, model)) {
            running += use.running(now);
        }
        return running;
    }

    /** Returns the calls a second for a model, those for its adapters included. */
    double rate(ServiceName service, ModelName model, Instant now) {
        double rate = 0;
        for (Use use : usesOf(service, model)) {
            rate += use.rate(now);
        }
        return rate;
    }

    /** Returns the calls a second for the adapters of a model. */
    double adapterRate(ServiceName service, ModelName model, Instant now) {
        Target.ServiceModelTarget base =
                new Target.ServiceModelTarget(service, new ModelReference(model, null));
        return rate(service, model, now) - rate(base, now);
    }

    /** Returns the calls a second for exactly this model or adapter. */
    double rate(Target.ServiceModelTarget target, Instant now) {
        Use use = mUses.get(target);
        return use == null ? 0 : use.rate(now);
    }

    /** Returns when calls last arrived for a model or its adapters; the distant past if never. */
    Instant lastUse(ServiceName service, ModelName model) {
        Instant last = Instant.MIN;
        for (Use use : usesOf(service, model)) {
            last = use.mLastUse.isAfter(last) ? use.mLastUse : last;
        }
        return last;
    }

    /** Returns when calls last arrived for exactly this model or adapter. */
    Instant lastUse(Target.ServiceModelTarget target) {
        Use use = mUses.get(target);
        return use == null ? Instant.MIN : use.mLastUse;
    }

    private List<Use> usesOf(ServiceName service, ModelName model) {
        return mByModel.getOrDefault(
                new Target.ServiceModelTarget(service, new ModelReference(model, null)), List.of());
    }

    private Use use(Target.ServiceModelTarget target) {
        Use use = mUses.get(target);
        if (use == null) {
            use = new Use();
            mUses.put(target, use);
            Target.ServiceModelTarget model =
                    new Target.ServiceModelTarget(
                            target.service(), target.model().withoutAdapter());
            mByModel.computeIfAbsent(model, key -> new ArrayList<>()).add(use);
        }
        return use;
    }

    /** What one daemon reported of one target. */
    private record Report(int waiting, int running, Instant at) {
        boolean isValid(Instant now) {
            return at.plus(REPORT_VALIDITY).isAfter(now);
        }
    }

    /** The use of one target. */
    private static final class Use {
        private final Map<MemberId, Report> mReports = new HashMap<>();
        private double mRate;
        private Instant mRateAt = Instant.MIN;
        private Instant mLastUse = Instant.MIN;
        private Instant mRequestedAt = Instant.MAX;

        void report(MemberId daemon, ModelDemand demand, Instant now) {
            mReports.put(daemon, new Report(demand.waiting(), demand.running(), now));
            if (demand.arrived() > 0) {
                mRate = rate(now) + demand.arrived() / seconds(RATE_MEMORY);
                mRateAt = now;
            }
            if (demand.arrived() > 0 || demand.running() > 0 || demand.waiting() > 0) {
                mLastUse = now;
            }
        }

        double rate(Instant now) {
            if (mRate == 0) {
                return 0;
            }
            double age = seconds(Duration.between(mRateAt, now));
            return mRate * Math.exp(-age / seconds(RATE_MEMORY));
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
