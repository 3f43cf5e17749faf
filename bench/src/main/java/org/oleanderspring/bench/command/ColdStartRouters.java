package org.oleanderspring.bench.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.ModelUse;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.Readiness;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotState;
import org.oleanderspring.core.placement.command.PlacementEvent;

/**
 * A simplified model of the routers of all daemons: they start, queue and refuse calls, request the
 * activation of models without a ready replica, and report the use of models. The calls of all
 * daemons for one model wait in one queue, in order of arrival.
 */
final class ColdStartRouters {
    private static final Duration ACTIVATION_REPEAT_INTERVAL = Duration.ofSeconds(1);

    private final VirtualScheduler mScheduler;
    private final ColdStartTally mTally;
    private final Map<ModelName, Checkpoint> mCatalogue;
    private final Map<EndpointId, SimulatedRunner> mRunners;
    private final Consumer<PlacementEvent> mPlacementEvents;
    private final Map<ModelName, ArrayDeque<WaitingCall>> mQueues = new HashMap<>();
    private final TreeMap<Integer, TreeMap<ModelName, Usage>> mUsage = new TreeMap<>();
    private Map<ModelName, List<EndpointId>> mReadyEndpoints = Map.of();
    private int mWaitingCalls;

    ColdStartRouters(
            VirtualScheduler scheduler,
            ColdStartTally tally,
            Map<ModelName, Checkpoint> catalogue,
            Map<EndpointId, SimulatedRunner> runners,
            Consumer<PlacementEvent> placementEvents) {
        mScheduler = scheduler;
        mTally = tally;
        mCatalogue = catalogue;
        mRunners = runners;
        mPlacementEvents = placementEvents;
    }

    boolean hasWaitingCalls() {
        return mWaitingCalls > 0;
    }

    /** Starts a call if a replica is free; otherwise queues it until its deadline. */
    void arrive(ColdStartCall call) {
        boolean isCold = !mReadyEndpoints.containsKey(call.model());
        WaitingCall waiting = new WaitingCall(call, mScheduler.now(), isCold);
        mTally.recordOffered(isCold);
        usage(call).mArrived++;
        if (tryStart(waiting)) {
            return;
        }
        queue(call.model()).add(waiting);
        usage(call).mQueued++;
        mWaitingCalls++;
        mScheduler.schedule(call.callerTimeout(), () -> refuse(waiting, "deadline"));
        if (isCold) {
            requestActivation(call);
        }
    }

    /**
     * Requests the activation of the model of a queued call, and again at intervals until a replica
     * is ready or no call for the model is queued at the daemon.
     */
    private void requestActivation(ColdStartCall call) {
        Instant earliestDeadline = null;
        int queued = 0;
        for (WaitingCall waiting : queue(call.model())) {
            if (waiting.call().daemon() == call.daemon()) {
                Instant deadline = waiting.deadline();
                earliestDeadline =
                        earliestDeadline == null || deadline.isBefore(earliestDeadline)
                                ? deadline
                                : earliestDeadline;
                queued++;
            }
        }
        if (earliestDeadline == null || mReadyEndpoints.containsKey(call.model())) {
            return;
        }
        MemberId daemon = daemonId(call.daemon());
        mScheduler.schedule(ACTIVATION_REPEAT_INTERVAL, () -> requestActivation(call));
        mPlacementEvents.accept(
                new PlacementEvent.ActivationRequested(
                        daemon, call.model(), earliestDeadline, queued));
    }

    private static MemberId daemonId(int number) {
        return new MemberId("daemon-" + number);
    }

    /** Starts a call on a ready replica with spare concurrency; returns whether there was one. */
    private boolean tryStart(WaitingCall waiting) {
        ColdStartCall call = waiting.call();
        SimulatedRunner runner = freeRunner(call.model());
        Checkpoint checkpoint = mCatalogue.get(call.model());
        if (runner == null || checkpoint == null) {
            return false;
        }
        long wait = Duration.between(waiting.arrivedAt(), mScheduler.now()).toMillis();
        mTally.recordAnswered(wait, waiting.isCold());
        runner.addCalls(checkpoint, 1);
        usage(call).mInFlight++;
        mScheduler.schedule(call.serviceTime(), () -> finish(call, runner, checkpoint));
        return true;
    }

    private @Nullable SimulatedRunner freeRunner(ModelName model) {
        for (EndpointId id : mReadyEndpoints.getOrDefault(model, List.of())) {
            SimulatedRunner runner = mRunners.get(id);
            if (runner != null && runner.canAcceptCall(model)) {
                return runner;
            }
        }
        return null;
    }

    /** Starts queued calls of all models, because models share the concurrency of a runner. */
    private void finish(ColdStartCall call, SimulatedRunner runner, Checkpoint checkpoint) {
        runner.addCalls(checkpoint, -1);
        usage(call).mInFlight--;
        for (ModelName model : List.copyOf(mQueues.keySet())) {
            startQueued(model);
        }
    }

    private void startQueued(ModelName model) {
        ArrayDeque<WaitingCall> queue = queue(model);
        while (!queue.isEmpty() && tryStart(queue.peek())) {
            recordDequeued(queue.remove());
        }
    }

    /** Updates the counts for a call that has been taken from its queue. */
    private void recordDequeued(WaitingCall waiting) {
        usage(waiting.call()).mQueued--;
        mWaitingCalls--;
        if (queue(waiting.call().model()).isEmpty()) {
            mQueues.remove(waiting.call().model());
        }
    }

    /** Refuses a call if it is still queued; the reason becomes a key of the result. */
    private void refuse(WaitingCall waiting, String reason) {
        if (queue(waiting.call().model()).remove(waiting)) {
            recordDequeued(waiting);
            mTally.recordRefused(reason, waiting.call().callerTimeout().toMillis());
        }
    }

    /** Applies the ready slots of a new plan, and starts queued calls. */
    void applyPlan(Plan plan) {
        Map<ModelName, List<EndpointId>> ready = new HashMap<>();
        for (Slot slot : plan.slots()) {
            if (slot.state() == SlotState.READY) {
                ready.computeIfAbsent(slot.key().name(), name -> new ArrayList<>())
                        .add(slot.key().runner());
            }
        }
        mReadyEndpoints = ready;
        List.copyOf(mQueues.keySet()).forEach(this::startQueued);
    }

    /**
     * Refuses the queued calls whose deadline is before the estimated readiness of the model, or
     * all of them if the model cannot become ready.
     */
    void applyReadiness(ModelName model, Readiness readiness) {
        for (WaitingCall waiting : List.copyOf(queue(model))) {
            if (readiness instanceof Readiness.NotPossible notPossible) {
                refuse(waiting, notPossible.reason().name().toLowerCase(Locale.ROOT));
            } else if (readiness instanceof Readiness.ReadyAt ready
                    && ready.at().isAfter(waiting.deadline())) {
                refuse(waiting, "estimate");
            }
        }
    }

    /** Reports the use of models at each daemon since the last report to placement. */
    void reportUsage() {
        mUsage.forEach(
                (daemon, usages) -> {
                    List<ModelUse> report = new ArrayList<>();
                    usages.forEach((model, usage) -> report.add(usage.toReport(model)));
                    usages.values().removeIf(Usage::isIdle);
                    mPlacementEvents.accept(
                            new PlacementEvent.UseReported(daemonId(daemon), report));
                });
    }

    private ArrayDeque<WaitingCall> queue(ModelName model) {
        return mQueues.computeIfAbsent(model, name -> new ArrayDeque<>());
    }

    private Usage usage(ColdStartCall call) {
        return mUsage.computeIfAbsent(call.daemon(), daemon -> new TreeMap<>())
                .computeIfAbsent(call.model(), model -> new Usage());
    }

    /**
     * A call that has not been started.
     *
     * @param call the call
     * @param arrivedAt when it arrived
     * @param isCold whether no replica of its model was ready on arrival
     */
    private record WaitingCall(ColdStartCall call, Instant arrivedAt, boolean isCold) {
        Instant deadline() {
            return arrivedAt.plus(call.callerTimeout());
        }
    }

    /** Counts the calls of one model at one daemon. */
    private static final class Usage {
        private int mInFlight;
        private int mQueued;
        private int mArrived;

        /** Returns the counts, and starts a new count of arrivals. */
        ModelUse toReport(ModelName model) {
            ModelUse usage = new ModelUse(model, mInFlight, mQueued, mArrived);
            mArrived = 0;
            return usage;
        }

        boolean isIdle() {
            return mInFlight == 0 && mQueued == 0;
        }
    }
}
