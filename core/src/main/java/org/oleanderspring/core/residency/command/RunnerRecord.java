package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.residency.ResidencyOrderKind;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.runner.CachedWeights;
import org.oleanderspring.core.runner.LoadedModel;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.core.runner.RunnerState;

/**
 * The known state of one runner, with the planned steps and the orders in progress.
 *
 * <p>Every order contains the number of orders that the runner has accepted so far, and the runner
 * rejects an order whose number differs from its own count. So the runner accepts at most one of
 * all orders that were sent with the same count, even if some were sent by a previous holder or
 * arrive late. Each of these orders fits into the memory that is free at that count, so the memory
 * is not exceeded whichever order is accepted. The record is confirmed while the count and the
 * models are known, and orders are sent only then.
 *
 * <p>A runner accepts no order before the previous one is complete. The memory of a model that is
 * being unloaded therefore counts as free, and the next order may be sent early, when the unload is
 * expected to be complete. If the runner rejects such orders too often, the end of the unload is
 * detected by reading the state instead. A state from before the last accepted order is ignored,
 * because it does not include the effect of that order.
 */
final class RunnerRecord {
    /**
     * The maximum number of rejected early orders during one unload. An early order is sent when
     * the unload is expected to be complete, without reading the state first. An unload that takes
     * longer waits for running requests, so its end is then detected by reading the state.
     */
    private static final int MAX_REJECTED_EARLY_ORDERS = 4;

    private RunnerRegistration mRegistration;
    private EngineDescription mEngine;
    private final Map<ModelName, Set<String>> mHeld = new LinkedHashMap<>();

    /** The adapters that are being loaded, with the time from which on they count as held. */
    private final Map<ModelReference, Instant> mIncoming = new HashMap<>();

    private final Map<ModelName, Instant> mLoadedAt = new HashMap<>();

    /** The models that were announced as closing, with the time of the announcement. */
    private final Map<ModelName, Instant> mClosing = new HashMap<>();

    private final Deque<ModelStep> mSteps = new ArrayDeque<>();
    private CachedWeights mCachedWeights;
    private long mAcceptedOrders;
    private boolean mConfirmed;
    private boolean mReading;
    private Instant mNextRead = Instant.MIN;
    private @Nullable ResidencyOrder mUnanswered;
    private @Nullable ResidencyOrder mOrderInProgress;

    /** Whether the last state that was read shows an order in progress. */
    private boolean mReportsOrderInProgress;

    private Instant mLoadEnd = Instant.MIN;
    private int mRejectedEarlyOrders;
    private final RunnerIntake mIntake = new RunnerIntake();
    private Instant mNextEarlyOrder = Instant.MIN;

    RunnerRecord(RunnerRegistration registration, EngineDescription engine) {
        mRegistration = registration;
        mEngine = engine;
        mCachedWeights = registration.cachedWeights();
        applyModels(registration.models());
    }

    RunnerRegistration registration() {
        return mRegistration;
    }

    EngineDescription engine() {
        return mEngine;
    }

    /**
     * Applies the current registration and engine description. The models in a registration are
     * applied only if they show the effect of the order in progress, because a registration may
     * show the state before the order.
     *
     * @return whether the models were applied
     */
    boolean update(RunnerRegistration registration, EngineDescription engine, Instant now) {
        mEngine = engine;
        boolean changed = !registration.equals(mRegistration);
        mRegistration = registration;
        ResidencyOrder order = mOrderInProgress;
        if (!changed || order == null || !isFulfilled(order, registration.models())) {
            return false;
        }
        mCachedWeights = registration.cachedWeights();
        applyModels(registration.models());
        orderFinished(order, now);
        return true;
    }

    private static boolean isFulfilled(ResidencyOrder order, List<LoadedModel> models) {
        boolean held = models.stream().anyMatch(model -> model.name().equals(order.model().base()));
        return held == (order.kind() == ResidencyOrderKind.LOAD);
    }

    private void orderFinished(ResidencyOrder order, Instant now) {
        mOrderInProgress = null;
        mReportsOrderInProgress = false;
        mConfirmed = true;
        if (order.kind() == ResidencyOrderKind.LOAD) {
            mLoadedAt.put(order.model().base(), now);
        }
        dropDoneSteps();
    }

    /** Discards the state of a tenure when it ends or another one begins. */
    void reset(Instant nextRead) {
        mConfirmed = false;
        mReading = false;
        mNextRead = nextRead;
        mUnanswered = null;
        mOrderInProgress = null;
        mReportsOrderInProgress = false;
        mSteps.clear();
        mClosing.clear();
        mIncoming.clear();
    }

    /**
     * Marks the runner's count of accepted orders as unknown. Its state is read before the next
     * order.
     */
    void invalidate(Instant nextRead) {
        mConfirmed = false;
        mUnanswered = null;
        mNextRead = nextRead;
    }

    boolean isConfirmed() {
        return mConfirmed;
    }

    /** Returns whether the runner may hold models for new calls, that is, it is not draining. */
    boolean isUsable() {
        return !mIntake.isLeaving() && !mRegistration.draining();
    }

    /** Returns how much the runner takes, as it has said to daemons. */
    RunnerIntake intake() {
        return mIntake;
    }

    /** Returns whether new steps may be planned now. */
    boolean canPlan() {
        return isUsable()
                && mConfirmed
                && mSteps.isEmpty()
                && mayBeOrdered()
                && !isExecutingOrder();
    }

    /**
     * Returns whether an order may be sent: the count is known, and no order or read is unanswered.
     */
    boolean mayBeOrdered() {
        return mConfirmed && mUnanswered == null && !mReading;
    }

    /** Returns whether the runner is executing an order for a model. */
    boolean isExecutingOrder() {
        return mOrderInProgress != null || mReportsOrderInProgress;
    }

    @Nullable ResidencyOrder orderInProgress() {
        return mOrderInProgress;
    }

    @Nullable ResidencyOrder unanswered() {
        return mUnanswered;
    }

    Deque<ModelStep> steps() {
        return mSteps;
    }

    Map<ModelName, Instant> closing() {
        return mClosing;
    }

    long acceptedOrders() {
        return mAcceptedOrders;
    }

    CachedWeights cachedWeights() {
        return mCachedWeights;
    }

    Set<ModelName> models() {
        return mHeld.keySet();
    }

    List<LoadedModel> loadedModels() {
        List<LoadedModel> models = new ArrayList<>();
        mHeld.forEach((name, adapters) -> models.add(new LoadedModel(name, adapters)));
        return models;
    }

    /** Returns whether the runner holds a model and is not about to unload it. */
    boolean isRoutable(ModelName model) {
        return mHeld.containsKey(model) && !mClosing.containsKey(model);
    }

    /** Returns whether the runner holds a model and will hold it after the planned steps. */
    boolean keeps(ModelName model) {
        if (!isRoutable(model)) {
            return false;
        }
        for (ModelStep step : mSteps) {
            if (step.kind() == ResidencyOrderKind.UNLOAD && step.model().equals(model)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the runner holds a model or adapter and is not about to unload it. */
    boolean isRoutable(ModelReference model) {
        return isRoutable(model.base())
                && (model.adapter() == null || adapters(model.base()).contains(model.adapter()));
    }

    Set<String> adapters(ModelName model) {
        return mHeld.getOrDefault(model, Set.of());
    }

    /** Returns whether an adapter is being loaded and does not count as held yet. */
    boolean isIncoming(ModelReference adapter, Instant now) {
        Instant until = mIncoming.get(adapter);
        return until != null && now.isBefore(until);
    }

    /**
     * Returns the time at which an order loaded a model, or {@link Instant#MIN} if no such load is
     * known.
     */
    Instant loadedAt(ModelName model) {
        return mLoadedAt.getOrDefault(model, Instant.MIN);
    }

    /** Returns whether a load of a model is planned or in progress. */
    boolean isLoading(ModelName model) {
        if (mOrderInProgress != null && isLoad(mOrderInProgress, model)) {
            return true;
        }
        for (ModelStep step : mSteps) {
            if (step.kind() == ResidencyOrderKind.LOAD && step.model().equals(model)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a load from the weight store is planned or in progress. */
    boolean isLoadingFromStore() {
        if (isStoreLoad(mOrderInProgress) || isStoreLoad(mUnanswered)) {
            return true;
        }
        for (ModelStep step : mSteps) {
            if (step.kind() == ResidencyOrderKind.LOAD && needsStore(step.model())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the runner executes an order of a previous holder, whose kind and model are
     * not known.
     */
    boolean isExecutingUnknownOrder() {
        return mReportsOrderInProgress && mOrderInProgress == null;
    }

    private boolean isStoreLoad(@Nullable ResidencyOrder order) {
        return order != null
                && order.kind() == ResidencyOrderKind.LOAD
                && !order.isForAdapter()
                && needsStore(order.model().base());
    }

    private static boolean isLoad(ResidencyOrder order, ModelName model) {
        return order.kind() == ResidencyOrderKind.LOAD && order.model().base().equals(model);
    }

    /** Returns the expected end of the load in progress, or null if there is none. */
    @Nullable Instant loadEnd() {
        boolean loads =
                mOrderInProgress != null && mOrderInProgress.kind() == ResidencyOrderKind.LOAD;
        return loads ? mLoadEnd : null;
    }

    void setLoadEnd(Instant end) {
        mLoadEnd = end;
    }

    /** Returns the time to load a model on this runner when no other load shares the source. */
    Duration loadTime(EngineModel model) {
        if (mCachedWeights.inMemory().contains(model.name())) {
            return model.memoryLoad();
        }
        return mCachedWeights.onDisk().contains(model.name())
                ? model.diskLoad()
                : model.storeLoad();
    }

    /** Returns whether a load of a model would use the weight store. */
    boolean needsStore(ModelName model) {
        return !mCachedWeights.inMemory().contains(model)
                && !mCachedWeights.onDisk().contains(model);
    }

    /** Returns whether the runner holds a model or has a local copy of its weights. */
    boolean hasCopy(ModelName model) {
        return mHeld.containsKey(model) || !needsStore(model);
    }

    /** Returns the models that the runner holds or has a local copy of. */
    Set<ModelName> copies() {
        Set<ModelName> copies = new HashSet<>(mHeld.keySet());
        copies.addAll(mCachedWeights.inMemory());
        copies.addAll(mCachedWeights.onDisk());
        return copies;
    }

    /** Returns whether the runner executes a load from the weight store. */
    boolean isExecutingStoreLoad() {
        return isStoreLoad(mOrderInProgress);
    }

    /** Returns the number of adapters that are held or being loaded. */
    int adapterCount() {
        int count = mIncoming.size();
        for (Set<String> adapters : mHeld.values()) {
            count += adapters.size();
        }
        return count;
    }

    /**
     * Returns the free memory, in megabytes, after models and adapters that are held or being
     * loaded.
     */
    double freeMegabytes() {
        double used = 0;
        for (Map.Entry<ModelName, Set<String>> held : mHeld.entrySet()) {
            used += megabytes(held.getKey(), held.getValue().size());
        }
        for (ModelReference adapter : mIncoming.keySet()) {
            EngineModel model = mEngine.models().get(adapter.base());
            used += model == null ? 0 : model.adapterMegabytes();
        }
        if (mOrderInProgress != null
                && mOrderInProgress.kind() == ResidencyOrderKind.LOAD
                && !mHeld.containsKey(mOrderInProgress.model().base())) {
            used += megabytes(mOrderInProgress.model().base(), 0);
        }
        if (mOrderInProgress != null && mOrderInProgress.kind() == ResidencyOrderKind.UNLOAD) {
            // The memory counts as free, because the runner accepts no order before the unload is
            // complete.
            ModelName leaving = mOrderInProgress.model().base();
            Set<String> adapters = mHeld.get(leaving);
            used -= adapters == null ? 0 : megabytes(leaving, adapters.size());
        }
        return mEngine.memoryMegabytes() - used;
    }

    /**
     * Returns the memory of a model with its adapters, in megabytes. A model of unknown size counts
     * as the whole memory of the runner.
     */
    double megabytes(ModelName name, int adapters) {
        EngineModel model = mEngine.models().get(name);
        return model == null
                ? mEngine.memoryMegabytes()
                : model.weightMegabytes() + adapters * model.adapterMegabytes();
    }

    boolean isReadDue(Instant now) {
        return !mReading && mUnanswered == null && !now.isBefore(mNextRead);
    }

    Instant nextRead() {
        return mNextRead;
    }

    void readStarted() {
        mReading = true;
    }

    void readFailed(Instant nextRead) {
        mReading = false;
        mNextRead = nextRead;
    }

    void orderSent(ResidencyOrder order) {
        mUnanswered = order;
    }

    /**
     * Records that the runner accepted an order for a model and executes it. Since a runner accepts
     * no order before the previous one is complete, the previous order is complete.
     */
    void orderAccepted(ResidencyOrder order, Instant nextRead, Instant firstEarlyOrder) {
        mUnanswered = null;
        mAcceptedOrders = order.expectedOrders() + 1;
        ResidencyOrder previous = mOrderInProgress;
        if (previous != null && previous.kind() == ResidencyOrderKind.UNLOAD) {
            mHeld.remove(previous.model().base());
            mClosing.remove(previous.model().base());
        }
        mOrderInProgress = order;
        mNextRead = nextRead;
        mRejectedEarlyOrders = 0;
        mNextEarlyOrder = firstEarlyOrder;
        ModelStep step = mSteps.peekFirst();
        if (step != null
                && step.kind() == ResidencyOrderKind.UNLOAD
                && step.model().equals(order.model().base())) {
            mSteps.removeFirst();
        }
    }

    /** Returns whether the next order may be sent early, while an unload is in progress. */
    boolean mayOrderDuringUnload(Instant now) {
        return mConfirmed
                && mUnanswered == null
                && !mReading
                && mOrderInProgress != null
                && mOrderInProgress.kind() == ResidencyOrderKind.UNLOAD
                && !mSteps.isEmpty()
                && mRejectedEarlyOrders < MAX_REJECTED_EARLY_ORDERS
                && !now.isBefore(mNextEarlyOrder);
    }

    /** Records that the runner rejected an early order because the unload is not complete. */
    void earlyOrderRejected(Instant nextTry) {
        mUnanswered = null;
        mRejectedEarlyOrders++;
        mNextEarlyOrder = nextTry;
    }

    /** Returns whether the unanswered order was sent while an unload is in progress. */
    boolean isEarlyOrder() {
        return mUnanswered != null
                && mOrderInProgress != null
                && mOrderInProgress.kind() == ResidencyOrderKind.UNLOAD;
    }

    /** Records that the runner accepted an order for an adapter. */
    void adapterOrderAccepted(ResidencyOrder order, Instant heldAt) {
        mUnanswered = null;
        mAcceptedOrders = order.expectedOrders() + 1;
        if (order.kind() == ResidencyOrderKind.LOAD) {
            mIncoming.put(order.model(), heldAt);
        } else {
            mHeld.getOrDefault(order.model().base(), Set.of()).remove(order.model().adapter());
        }
    }

    /** Marks adapters as held whose load time has passed, and returns them. */
    List<ModelReference> completeIncoming(Instant now) {
        List<ModelReference> completed = new ArrayList<>();
        Iterator<Map.Entry<ModelReference, Instant>> entries = mIncoming.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<ModelReference, Instant> entry = entries.next();
            if (!now.isBefore(entry.getValue())) {
                completed.add(entry.getKey());
                entries.remove();
            }
        }
        for (ModelReference adapter : completed) {
            Set<String> adapters = mHeld.get(adapter.base());
            if (adapters != null && adapter.adapter() != null) {
                adapters.add(adapter.adapter());
            }
        }
        return completed;
    }

    /**
     * Applies the state that the runner returned.
     *
     * @return whether the state was applied; a state from before the last accepted order is ignored
     */
    boolean applyState(RunnerState state, Instant now, Duration recheckInterval) {
        mReading = false;
        if (state.orders() < mAcceptedOrders) {
            mNextRead = now.plus(recheckInterval);
            return false;
        }
        boolean hasUnknownOrders = state.orders() > mAcceptedOrders;
        mAcceptedOrders = state.orders();
        mCachedWeights = state.cachedWeights();
        mIncoming.clear();
        applyModels(state.models());
        for (ModelReference adapter : state.incomingAdapters()) {
            mIncoming.put(adapter, now.plus(recheckInterval));
        }
        mReportsOrderInProgress = state.orderInProgress();
        if (state.orderInProgress()) {
            mConfirmed = mConfirmed && !hasUnknownOrders;
            mNextRead = now.plus(recheckInterval);
            return true;
        }
        ResidencyOrder order = mOrderInProgress;
        if (order != null) {
            orderFinished(order, now);
        }
        mConfirmed = true;
        dropDoneSteps();
        return true;
    }

    private void applyModels(List<LoadedModel> models) {
        mHeld.clear();
        for (LoadedModel model : models) {
            mHeld.put(model.name(), new HashSet<>(model.adapters()));
        }
        mClosing.keySet().retainAll(mHeld.keySet());
    }

    /** Removes steps whose effect is already present. */
    private void dropDoneSteps() {
        while (!mSteps.isEmpty() && isDone(mSteps.peekFirst())) {
            mSteps.removeFirst();
        }
    }

    private boolean isDone(ModelStep step) {
        boolean held = mHeld.containsKey(step.model());
        return held == (step.kind() == ResidencyOrderKind.LOAD);
    }

    /** Cancels the planned steps. */
    void dropSteps() {
        mSteps.clear();
        mClosing.clear();
    }
}
