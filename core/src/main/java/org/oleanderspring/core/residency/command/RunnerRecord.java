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
import org.oleanderspring.core.runner.HeldModel;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.core.runner.RunnerState;

/**
 * What the placement knows of one runner and does with it.
 *
 * <p>Every order names the count of orders that the runner has accepted, and the runner rejects an
 * order whose count differs. So of all orders that were sent with one count, also by a holder
 * before or late, the runner accepts one at most. Each of them fits the memory that the models of
 * that count leave, so whichever is accepted, the memory is not exceeded. The record is confirmed
 * while the count and the models are known; only then is an order sent.
 */
final class RunnerRecord {
    /** An unload that takes longer waits for running requests; its end is then read. */
    private static final int FOLLOWER_LIMIT = 4;

    private RunnerRegistration mEntry;
    private EngineDescription mEngine;
    private final Map<ModelName, Set<String>> mHeld = new LinkedHashMap<>();
    private final Map<ModelReference, Instant> mIncoming = new HashMap<>();
    private final Map<ModelName, Instant> mLoadedAt = new HashMap<>();
    private final Map<ModelName, Instant> mClosing = new HashMap<>();
    private final Deque<ModelStep> mSteps = new ArrayDeque<>();
    private CachedWeights mCopies;
    private long mOrders;
    private boolean mConfirmed;
    private boolean mReading;
    private Instant mNextRead = Instant.MIN;
    private @Nullable ResidencyOrder mUnanswered;
    private @Nullable ResidencyOrder mCarriedOut;
    private boolean mChanging;
    private Instant mLoadEnd = Instant.MIN;
    private int mRejectedFollowers;
    private Instant mNextFollower = Instant.MIN;

    RunnerRecord(RunnerRegistration entry, EngineDescription engine) {
        mEntry = entry;
        mEngine = engine;
        mCopies = entry.copies();
        adoptModels(entry.models());
    }

    RunnerRegistration entry() {
        return mEntry;
    }

    EngineDescription engine() {
        return mEngine;
    }

    /** Takes over a changed entry or engine description; returns whether the models changed. */
    boolean update(RunnerRegistration entry, EngineDescription engine, Instant now) {
        mEngine = engine;
        boolean changed = !entry.equals(mEntry);
        mEntry = entry;
        ResidencyOrder order = mCarriedOut;
        if (!changed || order == null || !isFulfilled(order, entry.models())) {
            return false;
        }
        mCopies = entry.copies();
        adoptModels(entry.models());
        finished(order, now);
        return true;
    }

    private static boolean isFulfilled(ResidencyOrder order, List<HeldModel> models) {
        boolean held = models.stream().anyMatch(model -> model.name().equals(order.model().base()));
        return held == (order.kind() == ResidencyOrderKind.LOAD);
    }

    private void finished(ResidencyOrder order, Instant now) {
        mCarriedOut = null;
        mChanging = false;
        mConfirmed = true;
        if (order.kind() == ResidencyOrderKind.LOAD) {
            mLoadedAt.put(order.model().base(), now);
        }
        dropDoneSteps();
    }

    /** Forgets everything that a tenure knew, because it ended or another one began. */
    void unconfirm(Instant nextRead) {
        mConfirmed = false;
        mReading = false;
        mNextRead = nextRead;
        mUnanswered = null;
        mCarriedOut = null;
        mChanging = false;
        mSteps.clear();
        mClosing.clear();
        mIncoming.clear();
    }

    /** Notes that the runner's count is unsure; its state is read before the next order. */
    void doubt(Instant nextRead) {
        mConfirmed = false;
        mUnanswered = null;
        mNextRead = nextRead;
    }

    boolean isConfirmed() {
        return mConfirmed;
    }

    /** Returns whether the runner takes part in the placement. */
    boolean isUsable() {
        return !mEntry.draining();
    }

    /** Returns whether an order about a model may be planned now. */
    boolean isFree() {
        return isUsable() && mConfirmed && mSteps.isEmpty() && mayBeOrdered() && !isChanging();
    }

    /** Returns whether no reply is outstanding and the count is known. */
    boolean mayBeOrdered() {
        return mConfirmed && mUnanswered == null && !mReading;
    }

    /** Returns whether the runner carries out an order about a model. */
    boolean isChanging() {
        return mCarriedOut != null || mChanging;
    }

    @Nullable ResidencyOrder carriedOut() {
        return mCarriedOut;
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

    long orders() {
        return mOrders;
    }

    CachedWeights copies() {
        return mCopies;
    }

    Set<ModelName> models() {
        return mHeld.keySet();
    }

    List<HeldModel> heldModels() {
        List<HeldModel> models = new ArrayList<>();
        mHeld.forEach((name, adapters) -> models.add(new HeldModel(name, adapters)));
        return models;
    }

    /** Returns whether the runner holds a model and will go on to hold it. */
    boolean isOpen(ModelName model) {
        return mHeld.containsKey(model) && !mClosing.containsKey(model);
    }

    Set<String> adapters(ModelName model) {
        return mHeld.getOrDefault(model, Set.of());
    }

    boolean isIncoming(ModelReference adapter, Instant now) {
        Instant until = mIncoming.get(adapter);
        return until != null && now.isBefore(until);
    }

    /** Returns when a model was loaded by an order of this tenure; the distant past if not. */
    Instant loadedAt(ModelName model) {
        return mLoadedAt.getOrDefault(model, Instant.MIN);
    }

    /** Returns whether a load of a model is planned or under way. */
    boolean isLoading(ModelName model) {
        if (mCarriedOut != null && isLoad(mCarriedOut, model)) {
            return true;
        }
        for (ModelStep step : mSteps) {
            if (step.kind() == ResidencyOrderKind.LOAD && step.model().equals(model)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a load from the weight store is planned or under way. */
    boolean isLoadingFromStore() {
        if (isStoreLoad(mCarriedOut) || isStoreLoad(mUnanswered)) {
            return true;
        }
        for (ModelStep step : mSteps) {
            if (step.kind() == ResidencyOrderKind.LOAD && needsStore(step.model())) {
                return true;
            }
        }
        return false;
    }

    private boolean isStoreLoad(@Nullable ResidencyOrder order) {
        return order != null
                && order.kind() == ResidencyOrderKind.LOAD
                && !order.concernsAdapter()
                && needsStore(order.model().base());
    }

    private static boolean isLoad(ResidencyOrder order, ModelName model) {
        return order.kind() == ResidencyOrderKind.LOAD && order.model().base().equals(model);
    }

    /** Returns when the load that is under way is expected to end, or null if there is none. */
    @Nullable Instant loadEnd() {
        boolean loads = mCarriedOut != null && mCarriedOut.kind() == ResidencyOrderKind.LOAD;
        return loads ? mLoadEnd : null;
    }

    void loadEnd(Instant end) {
        mLoadEnd = end;
    }

    /** Returns how long a load of a model takes here, alone. */
    Duration loadTime(EngineModel model) {
        if (mCopies.inMemory().contains(model.name())) {
            return model.memoryLoad();
        }
        return mCopies.onDisk().contains(model.name()) ? model.diskLoad() : model.storeLoad();
    }

    /** Returns whether a load of a model would come from the weight store. */
    boolean needsStore(ModelName model) {
        return !mCopies.inMemory().contains(model) && !mCopies.onDisk().contains(model);
    }

    /** Returns whether the runner holds a model or has its weights near. */
    boolean hasCopy(ModelName model) {
        return mHeld.containsKey(model) || !needsStore(model);
    }

    int adapterCount() {
        int count = mIncoming.size();
        for (Set<String> adapters : mHeld.values()) {
            count += adapters.size();
        }
        return count;
    }

    /** Returns the memory that no model or adapter takes, those on their way included. */
    double freeMegabytes() {
        double used = 0;
        for (Map.Entry<ModelName, Set<String>> held : mHeld.entrySet()) {
            used += megabytes(held.getKey(), held.getValue().size());
        }
        for (ModelReference adapter : mIncoming.keySet()) {
            EngineModel model = mEngine.models().get(adapter.base());
            used += model == null ? 0 : model.adapterMegabytes();
        }
        if (mCarriedOut != null
                && mCarriedOut.kind() == ResidencyOrderKind.LOAD
                && !mHeld.containsKey(mCarriedOut.model().base())) {
            used += megabytes(mCarriedOut.model().base(), 0);
        }
        if (mCarriedOut != null && mCarriedOut.kind() == ResidencyOrderKind.UNLOAD) {
            // The runner accepts no order before the unload is done.
            ModelName leaving = mCarriedOut.model().base();
            Set<String> adapters = mHeld.get(leaving);
            used -= adapters == null ? 0 : megabytes(leaving, adapters.size());
        }
        return mEngine.memoryMegabytes() - used;
    }

    /** Returns the memory of a model; a model of unknown size counts as if it filled the runner. */
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

    void reading() {
        mReading = true;
    }

    void unread(Instant nextRead) {
        mReading = false;
        mNextRead = nextRead;
    }

    void sent(ResidencyOrder order) {
        mUnanswered = order;
    }

    /**
     * Notes that the runner accepted an order about a model and carries it out. It accepts none
     * before the last one is done, so that one is.
     */
    void accepted(ResidencyOrder order, Instant nextRead, Instant firstFollower) {
        mUnanswered = null;
        mOrders = order.expectedOrders() + 1;
        ResidencyOrder before = mCarriedOut;
        if (before != null && before.kind() == ResidencyOrderKind.UNLOAD) {
            mHeld.remove(before.model().base());
            mClosing.remove(before.model().base());
        }
        mCarriedOut = order;
        mNextRead = nextRead;
        mRejectedFollowers = 0;
        mNextFollower = firstFollower;
        ModelStep step = mSteps.peekFirst();
        if (step != null
                && step.kind() == ResidencyOrderKind.UNLOAD
                && step.model().equals(order.model().base())) {
            mSteps.removeFirst();
        }
    }

    /** Returns whether the next order may be tried while an unload is carried out. */
    boolean mayFollowUnload(Instant now) {
        return mConfirmed
                && mUnanswered == null
                && !mReading
                && mCarriedOut != null
                && mCarriedOut.kind() == ResidencyOrderKind.UNLOAD
                && !mSteps.isEmpty()
                && mRejectedFollowers < FOLLOWER_LIMIT
                && !now.isBefore(mNextFollower);
    }

    /** Notes that the runner rejected the order that followed an unload, which is not done yet. */
    void followerRejected(Instant nextTry) {
        mUnanswered = null;
        mRejectedFollowers++;
        mNextFollower = nextTry;
    }

    /** Returns whether the unanswered order follows an unload that is still carried out. */
    boolean isFollowing() {
        return mUnanswered != null
                && mCarriedOut != null
                && mCarriedOut.kind() == ResidencyOrderKind.UNLOAD;
    }

    /** Notes that the runner accepted an order about an adapter. */
    void acceptedAdapter(ResidencyOrder order, Instant heldAt) {
        mUnanswered = null;
        mOrders = order.expectedOrders() + 1;
        if (order.kind() == ResidencyOrderKind.LOAD) {
            mIncoming.put(order.model(), heldAt);
        } else {
            mHeld.getOrDefault(order.model().base(), Set.of()).remove(order.model().adapter());
        }
    }

    /** Counts adapters as held whose time to arrive is over; returns them. */
    List<ModelReference> settleIncoming(Instant now) {
        List<ModelReference> settled = new ArrayList<>();
        Iterator<Map.Entry<ModelReference, Instant>> entries = mIncoming.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<ModelReference, Instant> entry = entries.next();
            if (!now.isBefore(entry.getValue())) {
                settled.add(entry.getKey());
                entries.remove();
            }
        }
        for (ModelReference adapter : settled) {
            Set<String> adapters = mHeld.get(adapter.base());
            if (adapters != null && adapter.adapter() != null) {
                adapters.add(adapter.adapter());
            }
        }
        return settled;
    }

    /**
     * Takes over what the runner told of itself.
     *
     * @return whether it is news; what is older than the last accepted order is not
     */
    boolean adopt(RunnerState state, Instant now, Duration recheck) {
        mReading = false;
        if (state.orders() < mOrders) {
            mNextRead = now.plus(recheck);
            return false;
        }
        boolean foreign = state.orders() > mOrders;
        mOrders = state.orders();
        mCopies = state.copies();
        mIncoming.clear();
        adoptModels(state.models());
        for (ModelReference adapter : state.incomingAdapters()) {
            mIncoming.put(adapter, now.plus(recheck));
        }
        mChanging = state.orderInProgress();
        if (state.orderInProgress()) {
            mConfirmed = mConfirmed && !foreign;
            mNextRead = now.plus(recheck);
            return true;
        }
        ResidencyOrder order = mCarriedOut;
        if (order != null) {
            finished(order, now);
        }
        mConfirmed = true;
        dropDoneSteps();
        return true;
    }

    private void adoptModels(List<HeldModel> models) {
        mHeld.clear();
        for (HeldModel model : models) {
            mHeld.put(model.name(), new HashSet<>(model.adapters()));
        }
        mClosing.keySet().retainAll(mHeld.keySet());
    }

    /** Drops steps whose effect is there already. */
    private void dropDoneSteps() {
        while (!mSteps.isEmpty() && isDone(mSteps.peekFirst())) {
            mSteps.removeFirst();
        }
    }

    private boolean isDone(ModelStep step) {
        boolean held = mHeld.containsKey(step.model());
        return held == (step.kind() == ResidencyOrderKind.LOAD);
    }

    /** Gives up the planned change. */
    void dropSteps() {
        mSteps.clear();
        mClosing.clear();
    }
}
