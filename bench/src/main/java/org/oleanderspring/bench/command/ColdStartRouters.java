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

/** The routers of all daemons: queues, wake requests and reports of use. */
final class ColdStartRouters {
    private static final Duration WAKE_REPEAT = Duration.ofSeconds(1);

    private final VirtualSchedule mSchedule;
    private final ColdStartTally mTally;
    private final Map<ModelName, Checkpoint> mCatalogue;
    private final Map<EndpointId, SimulatedRunner> mRunners;
    private final Consumer<PlacementEvent> mPlacement;
    private final Map<ModelName, ArrayDeque<Waiting>> mQueues = new HashMap<>();
    private final TreeMap<Integer, TreeMap<ModelName, Use>> mUses = new TreeMap<>();
    private Map<ModelName, List<EndpointId>> mReady = Map.of();
    private int mWaiting;

    ColdStartRouters(
            VirtualSchedule schedule,
            ColdStartTally tally,
            Map<ModelName, Checkpoint> catalogue,
            Map<EndpointId, SimulatedRunner> runners,
            Consumer<PlacementEvent> placement) {
        mSchedule = schedule;
        mTally = tally;
        mCatalogue = catalogue;
        mRunners = runners;
        mPlacement = placement;
    }

    boolean hasWaiting() {
        return mWaiting > 0;
    }

    void arrive(ColdStartCall call) {
        boolean isCold = !mReady.containsKey(call.model());
        Waiting waiting = new Waiting(call, mSchedule.now(), isCold);
        mTally.offered(isCold);
        use(call).mArrived++;
        if (start(waiting)) {
            return;
        }
        queue(call.model()).add(waiting);
        use(call).mQueued++;
        mWaiting++;
        mSchedule.after(call.patience(), () -> refuse(waiting, "deadline"));
        if (isCold) {
            wake(call);
        }
    }

    private void wake(ColdStartCall call) {
        Instant earliest = null;
        int count = 0;
        for (Waiting waiting : queue(call.model())) {
            if (waiting.call().daemon() == call.daemon()) {
                Instant deadline = waiting.deadline();
                earliest = earliest == null || deadline.isBefore(earliest) ? deadline : earliest;
                count++;
            }
        }
        if (earliest == null || mReady.containsKey(call.model())) {
            return;
        }
        MemberId daemon = daemon(call.daemon());
        mSchedule.after(WAKE_REPEAT, () -> wake(call));
        mPlacement.accept(
                new PlacementEvent.ActivationRequested(daemon, call.model(), earliest, count));
    }

    private static MemberId daemon(int number) {
        return new MemberId("daemon-" + number);
    }

    private boolean start(Waiting waiting) {
        ColdStartCall call = waiting.call();
        SimulatedRunner runner = freeRunner(call.model());
        Checkpoint checkpoint = mCatalogue.get(call.model());
        if (runner == null || checkpoint == null) {
            return false;
        }
        long wait = Duration.between(waiting.since(), mSchedule.now()).toMillis();
        mTally.answered(wait, waiting.isCold());
        runner.addCalls(checkpoint, 1);
        use(call).mInFlight++;
        mSchedule.after(call.service(), () -> finish(call, runner, checkpoint));
        return true;
    }

    private @Nullable SimulatedRunner freeRunner(ModelName model) {
        for (EndpointId id : mReady.getOrDefault(model, List.of())) {
            SimulatedRunner runner = mRunners.get(id);
            if (runner != null && runner.takesCall(model)) {
                return runner;
            }
        }
        return null;
    }

    private void finish(ColdStartCall call, SimulatedRunner runner, Checkpoint checkpoint) {
        runner.addCalls(checkpoint, -1);
        use(call).mInFlight--;
        for (ModelName model : List.copyOf(mQueues.keySet())) {
            startQueued(model);
        }
    }

    private void startQueued(ModelName model) {
        ArrayDeque<Waiting> queue = queue(model);
        while (!queue.isEmpty() && start(queue.peek())) {
            leave(queue.remove());
        }
    }

    private void leave(Waiting waiting) {
        use(waiting.call()).mQueued--;
        mWaiting--;
        if (queue(waiting.call().model()).isEmpty()) {
            mQueues.remove(waiting.call().model());
        }
    }

    private void refuse(Waiting waiting, String reason) {
        if (queue(waiting.call().model()).remove(waiting)) {
            leave(waiting);
            mTally.refused(reason, waiting.call().patience().toMillis());
        }
    }

    /** Takes in a new plan. */
    void hear(Plan plan) {
        Map<ModelName, List<EndpointId>> ready = new HashMap<>();
        for (Slot slot : plan.slots()) {
            if (slot.state() == SlotState.READY) {
                ready.computeIfAbsent(slot.key().name(), name -> new ArrayList<>())
                        .add(slot.key().runner());
            }
        }
        mReady = ready;
        List.copyOf(mQueues.keySet()).forEach(this::startQueued);
    }

    /** Refuses the calls that cannot wait for the model. */
    void estimated(ModelName model, Readiness readiness) {
        for (Waiting waiting : List.copyOf(queue(model))) {
            if (readiness instanceof Readiness.NotPossible impossible) {
                refuse(waiting, impossible.reason().name().toLowerCase(Locale.ROOT));
            } else if (readiness instanceof Readiness.ReadyAt ready
                    && ready.at().isAfter(waiting.deadline())) {
                refuse(waiting, "estimate");
            }
        }
    }

    /** Tells placement of the use at each daemon since the last report. */
    void report() {
        mUses.forEach(
                (daemon, uses) -> {
                    List<ModelUse> report = new ArrayList<>();
                    uses.forEach((model, use) -> report.add(use.toReport(model)));
                    uses.values().removeIf(Use::isOver);
                    mPlacement.accept(new PlacementEvent.UseReported(daemon(daemon), report));
                });
    }

    private ArrayDeque<Waiting> queue(ModelName model) {
        return mQueues.computeIfAbsent(model, name -> new ArrayDeque<>());
    }

    private Use use(ColdStartCall call) {
        return mUses.computeIfAbsent(call.daemon(), daemon -> new TreeMap<>())
                .computeIfAbsent(call.model(), model -> new Use());
    }

    private record Waiting(ColdStartCall call, Instant since, boolean isCold) {
        Instant deadline() {
            return since.plus(call.patience());
        }
    }

    /** The calls of one model at one daemon. */
    private static final class Use {
        private int mInFlight;
        private int mQueued;
        private int mArrived;

        ModelUse toReport(ModelName model) {
            ModelUse use = new ModelUse(model, mInFlight, mQueued, mArrived);
            mArrived = 0;
            return use;
        }

        boolean isOver() {
            return mInFlight == 0 && mQueued == 0;
        }
    }
}
