package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.LoadState;
import org.oleanderspring.core.fleet.LoadedCheckpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.placement.OrderKind;
import org.oleanderspring.core.placement.OrderRejection;
import org.oleanderspring.core.placement.OrderResult;
import org.oleanderspring.core.placement.RunnerOrder;

/**
 * A runner that executes each order without checking limits, so that only placement enforces them.
 */
final class FakeRunner {
    private static final Duration UNLOAD_TIME = Duration.ofMillis(200);

    private final Endpoint mEndpoint;
    private final TreeMap<ModelName, Loaded> mLoaded = new TreeMap<>();
    private final Set<String> mEnded = new HashSet<>();
    private FencingToken mHighest = FencingToken.NONE;
    private boolean mFailsLoads;

    FakeRunner(Endpoint endpoint) {
        mEndpoint = endpoint;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    TreeMap<ModelName, Loaded> loaded() {
        return mLoaded;
    }

    void setFailsLoads(boolean fails) {
        mFailsLoads = fails;
    }

    OrderResult execute(RunnerOrder order, Checkpoint checkpoint, Duration loadTime, Instant now) {
        boolean isOld = order.token().compareTo(mHighest) < 0;
        if (isOld && mEndpoint.checksFencingToken()) {
            return new OrderResult.Rejected(OrderRejection.STALE_TOKEN);
        }
        mHighest = isOld ? mHighest : order.token();
        boolean isLoad =
                order.kind() == OrderKind.LOAD_MODEL || order.kind() == OrderKind.LOAD_ADAPTER;
        return isLoad ? load(order, checkpoint, loadTime, now) : unload(order, now);
    }

    private OrderResult load(
            RunnerOrder order, Checkpoint checkpoint, Duration loadTime, Instant now) {
        ModelName base = checkpoint.base();
        if (base != null && !isReady(base)) {
            return new OrderResult.Rejected(OrderRejection.BASE_NOT_LOADED);
        }
        if (mLoaded.containsKey(order.subject())) {
            mEnded.add(order.id().value());
            return new OrderResult.Accepted();
        }
        Loaded loaded = new Loaded(order, checkpoint, now.plus(loadTime), mFailsLoads);
        mLoaded.put(order.subject(), loaded);
        return new OrderResult.Accepted();
    }

    private OrderResult unload(RunnerOrder order, Instant now) {
        Loaded loaded = mLoaded.get(order.subject());
        if (loaded == null || loaded.mState != LoadState.READY) {
            mEnded.add(order.id().value());
            return new OrderResult.Accepted();
        }
        if (loaded.mActiveCalls > 0) {
            throw new AssertionError(
                    order + " unloads a model with " + loaded.mActiveCalls + " active calls");
        }
        loaded.mState = LoadState.UNLOADING;
        loaded.mOrder = order;
        loaded.mUntil = now.plus(UNLOAD_TIME);
        return new OrderResult.Accepted();
    }

    boolean isReady(ModelName name) {
        Loaded loaded = mLoaded.get(name);
        return loaded != null && loaded.mState == LoadState.READY;
    }

    /** Completes the loads and unloads that are due. */
    void advance(Instant now) {
        for (Loaded loaded : List.copyOf(mLoaded.values())) {
            if (loaded.mState == LoadState.READY || now.isBefore(loaded.mUntil)) {
                continue;
            }
            mEnded.add(loaded.mOrder.id().value());
            if (loaded.mState == LoadState.UNLOADING || loaded.mFails) {
                mLoaded.remove(loaded.mCheckpoint.name());
            } else {
                loaded.mState = LoadState.READY;
            }
        }
    }

    RunnerReport report(Instant now) {
        List<LoadedCheckpoint> shown = new ArrayList<>();
        mLoaded.forEach(
                (name, loaded) ->
                        shown.add(
                                new LoadedCheckpoint(
                                        name,
                                        loaded.mCheckpoint.version(),
                                        loaded.mState,
                                        loaded.mActiveCalls)));
        // Engines report only a few ended orders, so placement must not depend on them.
        Set<String> ended = mEnded.size() > 3 ? Set.of() : mEnded;
        Set<ModelName> none = Set.of();
        return new RunnerReport(mEndpoint.id(), now, mHighest, shown, none, none, ended, 2, false);
    }

    /** A checkpoint that is loading, ready or unloading, and therefore uses memory. */
    static final class Loaded {
        private final Checkpoint mCheckpoint;
        private final boolean mFails;
        private RunnerOrder mOrder;
        private LoadState mState = LoadState.LOADING;
        private Instant mUntil;
        private int mActiveCalls;

        Loaded(RunnerOrder order, Checkpoint checkpoint, Instant until, boolean fails) {
            mOrder = order;
            mCheckpoint = checkpoint;
            mUntil = until;
            mFails = fails;
        }

        Checkpoint checkpoint() {
            return mCheckpoint;
        }

        void addCalls(int calls) {
            mActiveCalls += calls;
        }
    }
}
