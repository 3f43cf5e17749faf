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
 * Replays a trace against the placement decider. The store, the runners and the routers are small
 * fakes without faults. The clock goes in short steps while calls wait or slots change, and in long
 * ones otherwise.
 */
final class ColdStartSimulation {
    private static final CellName CELL = new CellName("cell");
    private static final int FAILURE_DOMAINS = 4;
    private static final int REPLICA_LIMIT = 3;
    private static final int ACCELERATORS_PER_RUNNER = 4;
    private static final Duration HOP = Duration.ofMillis(2);
    private static final Duration REPORT_LAG = Duration.ofMillis(20);
    private static final Duration SHORT_STEP = Duration.ofMillis(200);
    private static final Duration LONG_STEP = Duration.ofSeconds(10);

    private final ColdStartDeployment mDeployment;
    private final VirtualSchedule mSchedule = new VirtualSchedule();
    private final SimulatedStore mStore = new SimulatedStore();
    private final ColdStartTally mTally = new ColdStartTally();
    private final Map<ModelName, Checkpoint> mCatalogue = new HashMap<>();
    private final TreeMap<EndpointId, SimulatedRunner> mRunners = new TreeMap<>();
    private final DefaultPlacementDecider mDecider;
    private final ColdStartRouters mRouters;
    private final ColdStartPolicy mPolicy;
    private @Nullable Plan mPlan;
    private Instant mLastStep = Instant.EPOCH;
    private long mRevision;
    private boolean mIsStepPlanned;

    ColdStartSimulation(
            ColdStartDeployment deployment, List<Checkpoint> catalogue, ColdStartPolicy policy) {
        mDeployment = deployment;
        mPolicy = policy;
        catalogue.forEach(checkpoint -> mCatalogue.put(checkpoint.name(), checkpoint));
        for (int i = 0; i < deployment.runners(); i++) {
            addRunner(i);
        }
        mRouters = new ColdStartRouters(mSchedule, mTally, mCatalogue, mRunners, this::tell);
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

    /** Replays all calls. */
    ColdStartResult run(List<ColdStartCall> calls, int days) {
        tell(new PlacementEvent.CatalogueListed(List.copyOf(mCatalogue.values())));
        tell(new PlacementEvent.LimitsChanged(limits()));
        tell(new PlacementEvent.VmsListed(vmList()));
        tell(new PlacementEvent.TermStarted(null, Revision.ABSENT));
        for (ColdStartCall call : calls) {
            mSchedule.after(call.at(), () -> arrive(call));
        }
        step();
        mSchedule.runUntil(Instant.EPOCH.plus(Duration.ofDays(days)));
        return mTally.result(mPolicy.name());
    }

    private PlacementLimits limits() {
        Duration notice = Duration.ofSeconds(3);
        Duration settle = Duration.ofSeconds(2);
        return new PlacementLimits(
                new ModelLimits(REPLICA_LIMIT, 0),
                Map.of(),
                new LoadLimits(mDeployment.loadsPerSecond(), 4, 30),
                new KeepAliveLimits(
                        Duration.ofSeconds(30), Duration.ofHours(12), mPolicy.idleCostWeight()),
                notice,
                Duration.ofSeconds(30),
                settle);
    }

    private VmList vmList() {
        List<Vm> vms =
                mRunners.values().stream()
                        .map(SimulatedRunner::endpoint)
                        .map(ColdStartSimulation::vm)
                        .toList();
        return new VmList(mSchedule.now(), vms, List.of());
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

    private void arrive(ColdStartCall call) {
        mRouters.arrive(call);
        if (!mIsStepPlanned) {
            step();
        }
    }

    private void step() {
        Instant now = mSchedule.now();
        double millis = Duration.between(mLastStep, now).toMillis();
        for (SimulatedRunner runner : mRunners.values()) {
            double share = runner.idleMegabytes() / (double) ColdStartDeployment.VM_MEGABYTES;
            mTally.idle(millis * share * ACCELERATORS_PER_RUNNER);
            tell(new PlacementEvent.RunnerReported(runner.report(now)));
        }
        mLastStep = now;
        mRouters.report();
        tell(new PlacementEvent.TimerFired());
        boolean isBusy = mRouters.hasWaiting() || !isSettled();
        mIsStepPlanned = isBusy;
        mSchedule.after(isBusy ? SHORT_STEP : LONG_STEP, () -> stepUnlessLate(now));
    }

    /** Skips a long step when a call caused another one meanwhile. */
    private void stepUnlessLate(Instant planned) {
        if (mLastStep.equals(planned)) {
            step();
        }
    }

    private boolean isSettled() {
        Plan plan = mPlan;
        return plan != null
                && plan.slots().stream().allMatch(slot -> slot.state() == SlotState.READY);
    }

    private void tell(PlacementEvent event) {
        mDecider.decide(event, mSchedule.now()).forEach(this::carryOut);
    }

    private void carryOut(PlacementDecision decision) {
        if (decision instanceof PlacementDecision.WritePlan write) {
            mSchedule.after(HOP, () -> write(write.plan()));
        } else if (decision instanceof PlacementDecision.SendOrder send) {
            mSchedule.after(HOP, () -> take(send.order()));
        } else if (decision instanceof PlacementDecision.ReportReadiness estimate) {
            mRouters.estimated(estimate.model(), estimate.readiness());
        }
    }

    private void write(Plan plan) {
        mRevision++;
        mPlan = plan;
        tell(new PlacementEvent.PlanWritten(plan.mark(), new Revision(mRevision)));
        mSchedule.after(HOP, () -> mRouters.hear(plan));
    }

    private void take(RunnerOrder order) {
        SimulatedRunner runner = mRunners.get(order.runner());
        Checkpoint checkpoint = mCatalogue.get(order.subject());
        if (runner == null || checkpoint == null) {
            return;
        }
        boolean isLoad =
                order.kind() == OrderKind.LOAD_MODEL || order.kind() == OrderKind.LOAD_ADAPTER;
        if (isLoad) {
            load(runner, checkpoint);
        } else {
            runner.unload(order.subject());
            reportSoon(runner);
        }
        tell(new PlacementEvent.OrderAnswered(order.id(), new OrderResult.Accepted()));
    }

    private void load(SimulatedRunner runner, Checkpoint checkpoint) {
        CheckpointLocation source = runner.locationOf(checkpoint.name());
        runner.beginLoad(checkpoint);
        if (source == CheckpointLocation.REMOTE && !checkpoint.isAdapter()) {
            mTally.loadedFromStore();
        }
        mSchedule.after(
                mStore.begin(checkpoint, source),
                () -> {
                    mStore.end(checkpoint, source);
                    runner.endLoad(checkpoint.name());
                    reportSoon(runner);
                });
    }

    private void reportSoon(SimulatedRunner runner) {
        mSchedule.after(
                REPORT_LAG,
                () -> tell(new PlacementEvent.RunnerReported(runner.report(mSchedule.now()))));
    }
}
