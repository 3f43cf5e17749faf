package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.route.EngineModel;

/**
 * Learns how many concurrent loads the weight store serves at full speed, from the time that loads
 * take.
 *
 * <p>Loads beyond that number finish no sooner than if they were started one after the other, and
 * each of them blocks its runner for longer. A load that took longer than alone, begun as the n-th,
 * shows that the store serves at most n times the ratio of both times. Loads at full speed raise
 * the limit again, up to the configured number.
 */
final class StoreConcurrency {
    /** Up to this multiple of the time of a single load, a load counts as one at full speed. */
    private static final double FULL_SPEED = 1.15;

    /**
     * After a slow load, the limit is not raised for this time, because a load that shows the limit
     * to be too high blocks its runner for longer.
     */
    private static final Duration RAISE_PAUSE = Duration.ofMinutes(1);

    private final int mMaximum;
    private final Map<EndpointId, Load> mLoads = new HashMap<>();
    private Instant mRaiseFrom = Instant.MIN;
    private int mLimit;

    StoreConcurrency(int maximum) {
        mMaximum = maximum;
        mLimit = maximum;
    }

    /** Returns the number of loads that may run at a time. */
    int limit() {
        return mLimit;
    }

    /** Compares the loads in progress with those of the previous call. */
    void observe(Collection<RunnerRecord> records, Instant now) {
        Map<EndpointId, RunnerRecord> loading = new HashMap<>();
        for (RunnerRecord record : records) {
            if (record.isExecutingStoreLoad()) {
                loading.put(record.registration().id(), record);
            }
        }
        for (RunnerRecord record : records) {
            EndpointId id = record.registration().id();
            Load load = mLoads.get(id);
            if (load != null && !loading.containsKey(id)) {
                mLoads.remove(id);
                ended(load, record, now);
            }
        }
        mLoads.keySet().retainAll(loading.keySet());
        loading.forEach((id, record) -> mLoads.computeIfAbsent(id, key -> begun(record, now)));
    }

    private Load begun(RunnerRecord record, Instant now) {
        ResidencyOrder order = record.orderInProgress();
        ModelName model = order == null ? new ModelName("") : order.model().base();
        return new Load(model, mLoads.size() + 1, now);
    }

    private void ended(Load load, RunnerRecord record, Instant now) {
        EngineModel model = record.engine().models().get(load.model());
        if (model == null
                || model.storeLoad().isZero()
                || !record.models().contains(load.model())) {
            return;
        }
        double ratio = seconds(Duration.between(load.begunAt(), now)) / seconds(model.storeLoad());
        if (ratio <= FULL_SPEED) {
            boolean mayRaise = load.position() >= mLimit && !now.isBefore(mRaiseFrom);
            mLimit = mayRaise ? Math.min(mMaximum, mLimit + 1) : mLimit;
            return;
        }
        mRaiseFrom = now.plus(RAISE_PAUSE);
        mLimit = Math.max(1, Math.min(mLimit, (int) Math.round(load.position() / ratio)));
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }

    /**
     * A load in progress.
     *
     * @param model the model
     * @param position the number of loads in progress when it began, including itself
     * @param begunAt when it was first seen
     */
    private record Load(ModelName model, int position, Instant begunAt) {}
}
