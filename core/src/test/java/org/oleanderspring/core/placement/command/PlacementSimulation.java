package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.DaemonVm;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointKind;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.Vm;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.fleet.VmState;
import org.oleanderspring.core.placement.KeepAliveLimits;
import org.oleanderspring.core.placement.LoadLimits;
import org.oleanderspring.core.placement.ModelLimits;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.OrderResult;
import org.oleanderspring.core.placement.OrderSender;
import org.oleanderspring.core.placement.PlacementLimits;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.PlanWriteFailure;
import org.oleanderspring.core.placement.Readiness;
import org.oleanderspring.core.placement.RunnerOrder;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotState;

/**
 * Simulates daemons with the real decider, a plan store, runners and routers under a virtual clock.
 * The runners execute every order that they receive, and the simulation checks after each step that
 * the loaded models stay within the limits.
 */
final class PlacementSimulation {
    static final int DAEMONS = 3;
    static final int RUNNERS = 4;
    static final long VM_MEGABYTES = 100;
    static final Duration DRAIN_PROPAGATION_TIME = Duration.ofSeconds(3);
    static final Duration VM_LIST_LAG = Duration.ofSeconds(5);
    static final Duration ORDER_SETTLE_TIME = Duration.ofSeconds(2);
    static final List<Checkpoint> CATALOGUE =
            List.of(
                    new Checkpoint(new ModelName("m0"), null, "1", 40),
                    new Checkpoint(new ModelName("m1"), null, "1", 50),
                    new Checkpoint(new ModelName("m2"), null, "1", 60),
                    new Checkpoint(new ModelName("a0"), new ModelName("m0"), "1", 10),
                    new Checkpoint(new ModelName("a1"), new ModelName("m1"), "1", 15));
    private static final CellName CELL = new CellName("cell");

    private final Random mRandom = new Random(7);
    private final PriorityQueue<Task> mTasks = new PriorityQueue<>();
    private final FakePlanStore mStore = new FakePlanStore();
    private final List<FakeDaemon> mDaemons = new ArrayList<>();
    private final TreeMap<EndpointId, FakeRunner> mRunners = new TreeMap<>();
    private final Map<VmId, VmState> mVms = new HashMap<>();
    private final Map<OrderId, Integer> mLimitOfOrder = new HashMap<>();
    private final Map<MemberId, Integer> mLimitAtDaemon = new HashMap<>();
    private final List<PlacementDecision.ReportReadiness> mEstimates = new ArrayList<>();
    private final StringBuilder mLog = new StringBuilder();
    private List<Checkpoint> mCatalogue = CATALOGUE;
    private Instant mNow = Instant.parse("2026-01-05T08:00:00Z");
    private long mSequence;
    private int mGeneration;
    private int mReplicaLimit = 2;
    private Plan mRouterPlan;
    private boolean mStoreDown;
    private boolean mLosesReplies;
    private boolean mLosesOrders;
    private boolean mFaultsEnded;

    PlacementSimulation() {
        for (int i = 0; i < DAEMONS; i++) {
            mDaemons.add(newDaemon(new VmId("entry" + i)));
        }
        for (int i = 0; i < RUNNERS; i++) {
            addRunner(i);
        }
        mDaemons.forEach(this::configure);
    }

    private FakeDaemon newDaemon(VmId vm) {
        mGeneration++;
        MemberId member = new MemberId("d" + mGeneration);
        mVms.put(vm, VmState.LIVE);
        PlacementPolicies policies =
                PlacementPolicies.standard()
                        .withKeepAlive(new FixedKeepAlivePolicy(Duration.ofSeconds(10)));
        return new FakeDaemon(CELL, new OrderSender(member, vm), policies);
    }

    /** Two runners share a VM. Every other runner checks fencing tokens. */
    private void addRunner(int i) {
        mGeneration++;
        VmId vm = new VmId("vm" + i / 2 + "-" + mGeneration / 100);
        EndpointId id = new EndpointId("r" + i + "-" + mGeneration);
        Address address = new Address("127.0.0.1", 1000 + i);
        mVms.put(vm, VmState.LIVE);
        Endpoint endpoint =
                new Endpoint(id, vm, address, EndpointKind.RUNNER, CELL, null, i % 2 == 0);
        mRunners.put(id, new FakeRunner(endpoint));
    }

    private void configure(FakeDaemon daemon) {
        deliver(daemon, new PlacementEvent.CatalogueListed(mCatalogue), 0);
        deliver(daemon, new PlacementEvent.LimitsChanged(limits()), 0);
        deliver(daemon, new PlacementEvent.VmsListed(vmList()), 0);
    }

    private PlacementLimits limits() {
        return new PlacementLimits(
                new ModelLimits(mReplicaLimit, 0),
                Map.of(),
                new LoadLimits(7, 4, 30),
                new KeepAliveLimits(Duration.ofSeconds(5), Duration.ofSeconds(30), 50),
                DRAIN_PROPAGATION_TIME,
                VM_LIST_LAG,
                ORDER_SETTLE_TIME);
    }

    private VmList vmList() {
        List<Vm> vms = new ArrayList<>();
        List<DaemonVm> daemonVms = new ArrayList<>();
        FailureDomain domain = new FailureDomain("f");
        mVms.forEach(
                (id, state) -> {
                    List<Endpoint> endpoints =
                            mRunners.values().stream()
                                    .map(FakeRunner::endpoint)
                                    .filter(endpoint -> endpoint.vm().equals(id))
                                    .toList();
                    if (id.value().startsWith("entry")) {
                        daemonVms.add(new DaemonVm(id, domain, state, new Address("127.0.0.1", 1)));
                    } else {
                        vms.add(new Vm(id, domain, state, VM_MEGABYTES, endpoints));
                    }
                });
        return new VmList(mNow, vms, daemonVms);
    }

    // Inputs and faults.

    /** Gives the lease to a daemon. The other holders learn of it up to 4 s later. */
    void grantLease(int index) {
        FakeDaemon daemon = mDaemons.get(index);
        for (FakeDaemon other : mDaemons) {
            if (other != daemon && other.isHolding()) {
                deliver(other, new PlacementEvent.TermEnded(), randomMillis(4000));
            }
        }
        Plan read = mStore.plan();
        deliver(daemon, new PlacementEvent.TermStarted(read, mStore.revision()), randomMillis(900));
    }

    void setPaused(int index, boolean paused) {
        mDaemons.get(index).setPaused(paused);
    }

    /**
     * Replaces a daemon by a new process. Orders that the old process has sent may still arrive.
     */
    void restartDaemon(int index, boolean onNewVm) {
        FakeDaemon old = mDaemons.get(index);
        VmId vm = onNewVm ? new VmId("entry-new" + mGeneration) : old.self().vm();
        if (onNewVm) {
            mVms.remove(old.self().vm());
        }
        FakeDaemon fresh = newDaemon(vm);
        if (!onNewVm) {
            fresh.acknowledgeFor(old);
        }
        mDaemons.set(index, fresh);
        configure(fresh);
    }

    void replaceRunner(int index) {
        EndpointId old = new ArrayList<>(mRunners.keySet()).get(index);
        mRunners.remove(old);
        addRunner(index);
    }

    void setLeaving(int index, boolean leaving) {
        Endpoint runner = new ArrayList<>(mRunners.values()).get(index).endpoint();
        mVms.put(runner.vm(), leaving ? VmState.LEAVING : VmState.LIVE);
    }

    void setFailsLoads(int index, boolean fails) {
        new ArrayList<>(mRunners.values()).get(index).setFailsLoads(fails);
    }

    void setStore(boolean down, boolean losesReplies) {
        mStoreDown = down;
        mLosesReplies = losesReplies;
    }

    void setLosesOrders(boolean loses) {
        mLosesOrders = loses;
    }

    void setReplicaLimit(int limit) {
        mReplicaLimit = limit;
        for (FakeDaemon daemon : mDaemons) {
            deliver(daemon, new PlacementEvent.LimitsChanged(limits()), randomMillis(3000));
        }
    }

    void publishVersion(int version) {
        mCatalogue =
                CATALOGUE.stream()
                        .map(
                                c ->
                                        new Checkpoint(
                                                c.name(),
                                                c.base(),
                                                "" + version,
                                                c.memoryMegabytes()))
                        .toList();
        for (FakeDaemon daemon : mDaemons) {
            deliver(daemon, new PlacementEvent.CatalogueListed(mCatalogue), randomMillis(3000));
        }
    }

    void requestActivation(int model, int daemons) {
        ModelName name = CATALOGUE.get(model).name();
        for (int i = 0; i < daemons; i++) {
            MemberId from = mDaemons.get(i).self().member();
            Instant deadline = mNow.plusSeconds(10);
            PlacementEvent event = new PlacementEvent.ActivationRequested(from, name, deadline, 1);
            mDaemons.forEach(daemon -> deliver(daemon, event, randomMillis(300)));
        }
    }

    /** Starts a call on each replica that is ready according to the plan known to the routers. */
    void call(int model) {
        Plan plan = mRouterPlan;
        if (plan == null) {
            return;
        }
        for (Slot slot : plan.slots()) {
            FakeRunner runner = mRunners.get(slot.key().runner());
            boolean isTarget = slot.key().name().equals(CATALOGUE.get(model).name());
            boolean isUsable = runner != null && runner.isReady(slot.key().name());
            if (isTarget && isUsable && slot.state() == SlotState.READY) {
                FakeRunner.Loaded loaded = runner.loaded().get(slot.key().name());
                loaded.addCalls(1);
                schedule(randomMillis(4000), () -> loaded.addCalls(-1));
            }
        }
    }

    void endFaults() {
        mFaultsEnded = true;
        setStore(false, false);
        mLosesOrders = false;
        mRunners.values().forEach(runner -> runner.setFailsLoads(false));
        mVms.replaceAll((vm, state) -> VmState.LIVE);
        mDaemons.forEach(daemon -> daemon.setPaused(false));
        mDaemons.forEach(daemon -> deliver(daemon, new PlacementEvent.TermEnded(), 0));
        setReplicaLimit(2);
        advance(6000);
        grantLease(0);
        advance(2000);
    }

    // Simulated time.

    /** Advances the time in steps of 100 ms and checks the memory limit after each step. */
    void advance(long millis) {
        Instant end = mNow.plusMillis(millis);
        while (mNow.isBefore(end)) {
            mNow = mNow.plusMillis(100);
            while (!mTasks.isEmpty() && !mTasks.peek().at().isAfter(mNow)) {
                mTasks.poll().work().run();
            }
            mRunners.values().forEach(runner -> runner.advance(mNow));
            mDaemons.forEach(this::step);
            checkMemory();
        }
    }

    private void step(FakeDaemon daemon) {
        if (mNow.toEpochMilli() % 500 == 0) {
            daemon.offer(new PlacementEvent.TimerFired());
            poll(daemon);
        }
        if (daemon.isPaused()) {
            return;
        }
        while (!daemon.orders().isEmpty()) {
            send(daemon, daemon.orders().poll());
        }
        while (!daemon.events().isEmpty()) {
            PlacementEvent event = daemon.events().poll();
            if (event instanceof PlacementEvent.LimitsChanged changed) {
                mLimitAtDaemon.put(
                        daemon.self().member(), changed.limits().defaults().replicaLimit());
            }
            daemon.decide(event, mNow).forEach(decision -> execute(daemon, decision));
        }
        if (daemon.mayAcknowledge()) {
            acknowledge(daemon);
        }
    }

    private void acknowledge(FakeDaemon daemon) {
        var term = daemon.acknowledge();
        for (MemberId member : daemon.members()) {
            var event = new PlacementEvent.TermAcknowledged(member, term);
            mDaemons.forEach(other -> deliver(other, event, randomMillis(500)));
        }
    }

    private void poll(FakeDaemon daemon) {
        if (mNow.toEpochMilli() % 1000 == 0) {
            deliver(
                    daemon,
                    new PlacementEvent.VmsListed(vmList()),
                    randomMillis(VM_LIST_LAG.toMillis()));
        }
        for (FakeRunner runner : mRunners.values()) {
            if (mFaultsEnded || mRandom.nextInt(4) > 0) {
                RunnerReport report = runner.report(mNow);
                long lag = randomMillis(mRandom.nextInt(8) == 0 ? 6000 : 500);
                deliver(daemon, new PlacementEvent.RunnerReported(report), lag);
            }
        }
    }

    private void execute(FakeDaemon daemon, PlacementDecision decision) {
        if (decision instanceof PlacementDecision.WritePlan write) {
            write(daemon, write);
        } else if (decision instanceof PlacementDecision.SendOrder send) {
            if (!mStore.containsOrder(send.order().id())) {
                throw new AssertionError(send + " is not in a written plan");
            }
            daemon.orders().add(send);
        } else if (decision instanceof PlacementDecision.AnnounceTerm announced) {
            for (FakeDaemon other : mDaemons) {
                boolean isOwn = other == daemon;
                schedule(randomMillis(500), () -> other.termAnnounced(announced.term(), isOwn));
            }
        } else if (decision instanceof PlacementDecision.ReportReadiness estimate) {
            mEstimates.add(estimate);
        }
    }

    private void write(FakeDaemon daemon, PlacementDecision.WritePlan write) {
        int limit = mLimitAtDaemon.getOrDefault(daemon.self().member(), 0);
        for (Slot slot : write.plan().slots()) {
            if (slot.state() == SlotState.LOADING) {
                mLimitOfOrder.putIfAbsent(slot.order().id(), limit);
            }
        }
        if (mStoreDown && mRandom.nextBoolean()) {
            fail(daemon, write, new PlanWriteFailure.NotWritten("store is down"), 100);
            return;
        }
        long delay = mStoreDown ? randomMillis(6000) : randomMillis(100);
        boolean isReplyLost = mStoreDown || (mLosesReplies && mRandom.nextBoolean());
        schedule(delay, () -> compareAndSwap(daemon, write, isReplyLost));
        if (isReplyLost) {
            fail(daemon, write, new PlanWriteFailure.OutcomeUnknown("no reply"), 1000);
        }
    }

    private void compareAndSwap(
            FakeDaemon daemon, PlacementDecision.WritePlan write, boolean isReplyLost) {
        PlanWriteFailure.Conflict conflict = mStore.write(write.plan(), write.expected());
        if (conflict == null) {
            Plan plan = write.plan();
            mLog.append(mNow).append(' ').append(plan).append('\n');
            schedule(
                    randomMillis(DRAIN_PROPAGATION_TIME.toMillis() - 200),
                    () -> updateRouters(plan));
        }
        if (isReplyLost) {
            return;
        }
        if (conflict == null) {
            var written = new PlacementEvent.PlanWritten(write.plan().mark(), mStore.revision());
            deliver(daemon, written, randomMillis(100));
        } else {
            fail(daemon, write, conflict, 100);
        }
    }

    private void updateRouters(Plan plan) {
        if (mRouterPlan == null || mRouterPlan.number() < plan.number()) {
            mRouterPlan = plan;
        }
    }

    private void fail(
            FakeDaemon daemon,
            PlacementDecision.WritePlan write,
            PlanWriteFailure failure,
            long delayMillis) {
        deliver(
                daemon,
                new PlacementEvent.PlanWriteFailed(write.plan().mark(), failure),
                delayMillis);
    }

    private void send(FakeDaemon daemon, PlacementDecision.SendOrder send) {
        RunnerOrder order = send.order();
        daemon.exchanges().put(order.id(), order.token());
        boolean isLost = mLosesOrders && mRandom.nextInt(3) == 0;
        boolean isReplyLost = isLost || (mLosesOrders && mRandom.nextInt(3) == 0);
        long delay = randomMillis(2000);
        if (!isLost) {
            schedule(delay, () -> arrive(daemon, order, isReplyLost));
        }
        if (isReplyLost) {
            schedule(delay + 500, () -> answer(daemon, order, new OrderResult.Unknown("lost")));
        }
    }

    private void arrive(FakeDaemon daemon, RunnerOrder order, boolean isReplyLost) {
        FakeRunner runner = mRunners.get(order.runner());
        OrderResult result = new OrderResult.NotSent("no connection");
        if (runner != null) {
            Checkpoint checkpoint = checkpoint(order.subject());
            Duration time = Duration.ofMillis(500 + mRandom.nextInt(3000));
            result = runner.execute(order, checkpoint, time, mNow);
            mLog.append(mNow).append(' ').append(order).append(result).append('\n');
            checkReplicas(order);
        }
        OrderResult answer = result;
        if (!isReplyLost) {
            schedule(randomMillis(500), () -> answer(daemon, order, answer));
        }
    }

    private void answer(FakeDaemon daemon, RunnerOrder order, OrderResult result) {
        daemon.exchanges().remove(order.id());
        daemon.offer(new PlacementEvent.OrderAnswered(order.id(), result));
    }

    private static Checkpoint checkpoint(ModelName name) {
        return CATALOGUE.stream().filter(c -> c.name().equals(name)).findFirst().orElseThrow();
    }

    // Checks.

    private void checkReplicas(RunnerOrder order) {
        Integer limit = mLimitOfOrder.get(order.id());
        long replicas =
                mRunners.values().stream()
                        .filter(runner -> runner.loaded().containsKey(order.subject()))
                        .count();
        if (limit != null && replicas > limit) {
            throw new AssertionError(
                    order + " results in " + replicas + " replicas, limit " + limit + "\n" + mLog);
        }
    }

    private void checkMemory() {
        Map<VmId, Long> taken = new HashMap<>();
        for (FakeRunner runner : mRunners.values()) {
            for (FakeRunner.Loaded loaded : runner.loaded().values()) {
                long megabytes = loaded.checkpoint().memoryMegabytes();
                taken.merge(runner.endpoint().vm(), megabytes, Long::sum);
            }
        }
        taken.forEach(
                (vm, megabytes) -> {
                    if (megabytes > VM_MEGABYTES) {
                        throw new AssertionError(
                                vm
                                        + " holds "
                                        + megabytes
                                        + " MB, limit "
                                        + VM_MEGABYTES
                                        + "\n"
                                        + mLog);
                    }
                });
    }

    /**
     * Requests a model until it is ready or reported as impossible. Fails after {@code seconds} of
     * simulated time.
     */
    void checkServed(int model, int seconds) {
        ModelName name = CATALOGUE.get(model).name();
        mEstimates.clear();
        for (int i = 0; i < seconds; i++) {
            requestActivation(model, 2);
            advance(1000);
            boolean isReady = mRunners.values().stream().anyMatch(runner -> runner.isReady(name));
            boolean isImpossible =
                    mEstimates.stream()
                            .anyMatch(
                                    estimate ->
                                            estimate.model().equals(name)
                                                    && estimate.readiness()
                                                            instanceof Readiness.NotPossible);
            if (isReady || isImpossible) {
                return;
            }
        }
        throw new AssertionError(name + " is neither ready nor reported as impossible\n" + state());
    }

    /**
     * Fails if models are still loaded or have slots after {@code seconds} of simulated time
     * without calls.
     */
    void checkAllUnloaded(int seconds) {
        for (int i = 0; i < seconds; i++) {
            advance(1000);
            boolean isEmpty = mRunners.values().stream().allMatch(r -> r.loaded().isEmpty());
            Plan plan = mStore.plan();
            if (isEmpty && (plan == null || plan.slots().isEmpty())) {
                return;
            }
        }
        throw new AssertionError("idle models are still loaded\n" + state());
    }

    private String state() {
        return mLog.substring(Math.max(0, mLog.length() - 6000)) + "\nnow " + mStore.plan();
    }

    private long randomMillis(long bound) {
        return mRandom.nextInt((int) bound);
    }

    void reseed(long seed) {
        mRandom.setSeed(seed);
    }

    private void deliver(FakeDaemon daemon, PlacementEvent event, long delayMillis) {
        schedule(delayMillis, () -> daemon.offer(event));
    }

    private void schedule(long delayMillis, Runnable work) {
        mSequence++;
        mTasks.add(new Task(mNow.plusMillis(delayMillis), mSequence, work));
    }

    @Override
    public String toString() {
        return "simulation at " + mNow + " with " + mStore.plan();
    }

    private record Task(Instant at, long sequence, Runnable work) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
