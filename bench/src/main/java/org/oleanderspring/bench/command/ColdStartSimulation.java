package org.oleanderspring.bench.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.bench.query.ColdStartResult;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointKind;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.Vm;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.fleet.VmState;
import org.oleanderspring.core.placement.KeepAliveLimits;
import org.oleanderspring.core.placement.LoadLimits;
import org.oleanderspring.core.placement.ModelLimits;
import org.oleanderspring.core.placement.OrderKind;
import org.oleanderspring.core.placement.OrderResult;
import org.oleanderspring.core.placement.OrderSender;
import org.oleanderspring.core.placement.PlacementLimits;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.RunnerOrder;
import org.oleanderspring.core.placement.SlotState;
import org.oleanderspring.core.placement.command.DefaultPlacementDecider;
import org.oleanderspring.core.placement.command.PlacementDecision;
import org.oleanderspring.core.placement.command.PlacementEvent;

/**
 * Replays a trace against the placement decider. The weight store, the runners and the routers are
 * simplified models without faults. The decider's timer fires in short steps while calls wait or
 * slots change, and in long steps otherwise.
 */
final class ColdStartSimulation {
    private static final CellName CELL = new CellName("cell");
    private static final int FAILURE_DOMAINS = 4;

    /** The maximum number of replicas of each model or adapter. */
    private static final int REPLICA_LIMIT = 3;

    private static final int ACCELERATORS_PER_RUNNER = 4;

    /**
     * The delay of each message: an order to a runner, a write of the plan, and the written plan on
     * its way to the routers.
     */
    private static final Duration MESSAGE_DELAY = Duration.ofMillis(2);

    /** The time after which a runner reports a load or an unload. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(20);

    private static final Duration BUSY_STEP = Duration.ofMillis(200);
    private static final Duration IDLE_STEP = Duration.ofSeconds(10);

    private final ColdStartDeployment mDeployment;
    private final VirtualScheduler mScheduler = new VirtualScheduler();
    private final SimulatedWeightStore mStore = new SimulatedWeightStore();
    private final ColdStartTally mTally = new ColdStartTally();
    private final Map<ModelName, Checkpoint> mCatalogue = new HashMap<>();
    private final TreeMap<EndpointId, SimulatedRunner> mRunners = new TreeMap<>();
    private final DefaultPlacementDecider mDecider;
    private final ColdStartRouters mRouters;
    private final ColdStartPolicy mPolicy;
    private @Nullable Plan mPlan;
    private Instant mLastStep = Instant.EPOCH;
    private long mRevision;
    private boolean mIsBusyStepScheduled;

    ColdStartSimulation(
            ColdStartDeployment deployment, List<Checkpoint> catalogue, ColdStartPolicy policy) {
        mDeployment = deployment;
        mPolicy = policy;
        catalogue.forEach(checkpoint -> mCatalogue.put(checkpoint.name(), checkpoint));
        for (int i = 0; i < deployment.runners(); i++) {
            addRunner(i);
        }
        mRouters = new ColdStartRouters(mScheduler, mTally, mCatalogue, mRunners, this::handle);
        OrderSender self = new OrderSender(new MemberId("holder"), new VmId("entry"));
        mDecider = new DefaultPlacementDecider(CELL, self, policy.policies());
    }

    private void addRunner(int i) {
        VmId vm = new VmId("vm-" + i);
        Address address = new Address("127.0.0.1", 1 + i);
        EndpointId id = new EndpointId("runner-" + i);
        EndpointKind kind = EndpointKind.RUNNER;
        Endpoint endpoint = new Endpoint(id, vm, address, kind, CELL, null, true);
        mRunners.put(id, new SimulatedRunner(endpoint));
    }

    /** Replays all calls and returns the counts of the given number of days; to be called once. */
    ColdStartResult run(List<ColdStartCall> calls, int days) {
        handle(new PlacementEvent.CatalogueListed(List.copyOf(mCatalogue.values())));
        handle(new PlacementEvent.LimitsChanged(limits()));
        handle(new PlacementEvent.VmsListed(vmList()));
        handle(new PlacementEvent.TermStarted(null, Revision.ABSENT));
        for (ColdStartCall call : calls) {
            mScheduler.schedule(call.arrival(), () -> arrive(call));
        }
        step();
        mScheduler.runUntil(Instant.EPOCH.plus(Duration.ofDays(days)));
        return mTally.result(mPolicy.name());
    }

    private PlacementLimits limits() {
        Duration drainPropagationTime = Duration.ofSeconds(3);
        Duration orderSettleTime = Duration.ofSeconds(2);
        return new PlacementLimits(
                new ModelLimits(REPLICA_LIMIT, 0),
                Map.of(),
                new LoadLimits(mDeployment.loadsPerSecond(), 4, 30),
                new KeepAliveLimits(
                        Duration.ofSeconds(30), Duration.ofHours(12), mPolicy.idleCostWeight()),
                drainPropagationTime,
                Duration.ofSeconds(30),
                orderSettleTime);
    }

    private VmList vmList() {
        List<Vm> vms =
                mRunners.values().stream()
                        .map(SimulatedRunner::endpoint)
                        .map(ColdStartSimulation::vm)
                        .toList();
        return new VmList(mScheduler.now(), vms, List.of());
    }

    private static Vm vm(Endpoint runner) {
        FailureDomain domain =
                new FailureDomain("domain-" + runner.address().port() % FAILURE_DOMAINS);
        return new Vm(
                runner.vm(),
                domain,
                VmState.LIVE,
                ColdStartDeployment.VM_MEGABYTES,
                List.of(runner));
    }

    /** Passes a call to the routers; a call that ends an idle phase causes a step at once. */
    private void arrive(ColdStartCall call) {
        mRouters.arrive(call);
        if (!mIsBusyStepScheduled) {
            step();
        }
    }

    /**
     * Reports the runners and the use of models, fires the timer and schedules the next step. The
     * memory that is idle now counts as idle since the previous step.
     */
    private void step() {
        Instant now = mScheduler.now();
        double millis = Duration.between(mLastStep, now).toMillis();
        for (SimulatedRunner runner : mRunners.values()) {
            double idleShare = runner.idleMegabytes() / (double) ColdStartDeployment.VM_MEGABYTES;
            mTally.addIdleMillis(millis * idleShare * ACCELERATORS_PER_RUNNER);
            handle(new PlacementEvent.RunnerReported(runner.report(now)));
        }
        mLastStep = now;
        mRouters.reportUsage();
        handle(new PlacementEvent.TimerFired());
        boolean isBusy = mRouters.hasWaitingCalls() || !areAllSlotsReady();
        mIsBusyStepScheduled = isBusy;
        mScheduler.schedule(isBusy ? BUSY_STEP : IDLE_STEP, () -> stepIfNoneSince(now));
    }

    /** Steps unless an arriving call has caused a step since the one that scheduled this one. */
    private void stepIfNoneSince(Instant scheduledAt) {
        if (mLastStep.equals(scheduledAt)) {
            step();
        }
    }

    private boolean areAllSlotsReady() {
        Plan plan = mPlan;
        return plan != null
                && plan.slots().stream().allMatch(slot -> slot.state() == SlotState.READY);
    }

    private void handle(PlacementEvent event) {
        mDecider.decide(event, mScheduler.now()).forEach(this::execute);
    }

    private void execute(PlacementDecision decision) {
        if (decision instanceof PlacementDecision.WritePlan write) {
            mScheduler.schedule(MESSAGE_DELAY, () -> writePlan(write.plan()));
        } else if (decision instanceof PlacementDecision.SendOrder send) {
            mScheduler.schedule(MESSAGE_DELAY, () -> executeOrder(send.order()));
        } else if (decision instanceof PlacementDecision.ReportReadiness report) {
            mRouters.applyReadiness(report.model(), report.readiness());
        }
    }

    private void writePlan(Plan plan) {
        mRevision++;
        mPlan = plan;
        handle(new PlacementEvent.PlanWritten(plan.mark(), new Revision(mRevision)));
        mScheduler.schedule(MESSAGE_DELAY, () -> mRouters.applyPlan(plan));
    }

    private void executeOrder(RunnerOrder order) {
        SimulatedRunner runner = mRunners.get(order.runner());
        Checkpoint checkpoint = mCatalogue.get(order.subject());
        if (runner == null || checkpoint == null) {
            return;
        }
        boolean isLoad =
                order.kind() == OrderKind.LOAD_MODEL || order.kind() == OrderKind.LOAD_ADAPTER;
        if (isLoad) {
            startLoad(runner, checkpoint);
        } else {
            runner.unload(order.subject());
            scheduleReport(runner);
        }
        handle(new PlacementEvent.OrderAnswered(order.id(), new OrderResult.Accepted()));
    }

    private void startLoad(SimulatedRunner runner, Checkpoint checkpoint) {
        CheckpointLocation source = runner.locationOf(checkpoint.name());
        runner.beginLoad(checkpoint);
        if (source == CheckpointLocation.REMOTE && !checkpoint.isAdapter()) {
            mTally.recordRemoteLoad();
        }
        mScheduler.schedule(
                mStore.beginLoad(checkpoint, source),
                () -> {
                    mStore.endLoad(checkpoint, source);
                    runner.endLoad(checkpoint.name());
                    scheduleReport(runner);
                });
    }

    private void scheduleReport(SimulatedRunner runner) {
        mScheduler.schedule(
                REPORT_DELAY,
                () -> handle(new PlacementEvent.RunnerReported(runner.report(mScheduler.now()))));
    }
}
