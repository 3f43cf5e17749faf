package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.ModelUse;

/** The calls of all models, summed over the reports of all daemons. */
final class UsageTracker {
    /** The calls of a daemon are discarded if it has not reported for this long. */
    private static final Duration SILENCE_LIMIT = Duration.ofSeconds(15);

    private final Map<MemberId, DaemonUse> mDaemons = new HashMap<>();
    private final TreeMap<ModelName, ModelTraffic> mModels = new TreeMap<>();
    private final UsageHistory mPool = new UsageHistory();

    /** Replaces the previous report of a daemon. */
    void report(MemberId daemon, List<ModelUse> uses, Instant now) {
        removeReport(daemon);
        mDaemons.put(daemon, new DaemonUse(now, uses));
        for (ModelUse use : uses) {
            ModelTraffic traffic = traffic(use.name());
            traffic.add(use.inFlight(), use.queued());
            if (use.inFlight() + use.queued() + use.arrived() > 0) {
                traffic.recordUse(now, mPool);
            }
        }
    }

    /** Records a use that an activation request or the active calls in a runner's report show. */
    void recordUse(ModelName name, Instant now) {
        traffic(name).recordUse(now, mPool);
    }

    /** Discards the calls of daemons that no longer report. */
    void removeSilent(Instant now) {
        List<MemberId> silent = new ArrayList<>();
        mDaemons.forEach(
                (daemon, use) -> {
                    if (use.at().plus(SILENCE_LIMIT).isBefore(now)) {
                        silent.add(daemon);
                    }
                });
        silent.forEach(this::removeReport);
    }

    private void removeReport(MemberId daemon) {
        DaemonUse old = mDaemons.remove(daemon);
        if (old == null) {
            return;
        }
        old.uses().forEach(use -> traffic(use.name()).add(-use.inFlight(), -use.queued()));
    }

    private ModelTraffic traffic(ModelName name) {
        return mModels.computeIfAbsent(name, key -> new ModelTraffic());
    }

    /** Returns the traffic of a model or adapter, or null if it was never used. */
    @Nullable ModelTraffic of(ModelName name) {
        return mModels.get(name);
    }

    /** Returns the number of calls in flight or queued for a model or adapter. */
    int demand(ModelName name) {
        ModelTraffic traffic = mModels.get(name);
        return traffic == null ? 0 : traffic.demand();
    }

    /** Returns the traffic of all models and adapters that were ever used. */
    Map<ModelName, ModelTraffic> models() {
        return mModels;
    }

    /** Returns the combined usage history of all models. */
    UsageHistory pool() {
        return mPool;
    }

    private record DaemonUse(Instant at, List<ModelUse> uses) {}
}
