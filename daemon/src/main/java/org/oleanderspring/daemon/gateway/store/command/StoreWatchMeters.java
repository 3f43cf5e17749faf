package org.oleanderspring.daemon.gateway.store.command;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.watch.query.WatchStatus;

/** Metrics of the watches: the time since the last answer to each of them. */
public final class StoreWatchMeters {
    private final Map<StoreKey, Long> mAnsweredAtNanos = new ConcurrentHashMap<>();
    private volatile long mEra;

    /**
     * Registers the gauges of the watches.
     *
     * @param registry the registry
     * @param names the name of each followed prefix in the metrics
     */
    public StoreWatchMeters(MetricRegistry registry, Map<StoreKey, String> names) {
        registry.registerGauge("store.era", (Gauge<Long>) () -> mEra);
        names.forEach(
                (prefix, name) ->
                        registry.registerGauge(
                                "store." + name + ".age_ms",
                                (Gauge<Long>) () -> age(prefix).toMillis()));
    }

    /** Records the era of the key-value service. */
    void era(StoreEra era) {
        mEra = era.value();
    }

    /** Records the state of the watches; called on the thread that owns them. */
    void update(List<WatchStatus> watches) {
        long now = System.nanoTime();
        for (WatchStatus watch : watches) {
            mAnsweredAtNanos.put(watch.prefix(), now - watch.age().toNanos());
        }
    }

    private Duration age(StoreKey prefix) {
        Long answeredAt = mAnsweredAtNanos.get(prefix);
        return answeredAt == null
                ? Duration.ZERO
                : Duration.ofNanos(System.nanoTime() - answeredAt);
    }
}
