package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ModelDemand;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.residency.ResidencyOrderReply;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.IngressLimits;
import org.oleanderspring.core.route.ServiceDescription;
import org.oleanderspring.core.runner.RunnerRegistration;

/**
 * Simulates runners, two daemons that alternately hold the placement, and a network that loses
 * replies and delays orders, so that orders of a previous holder can arrive late.
 */
final class ResidencySimulation {
    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final MemberId CALLERS = new MemberId("callers");
    private static final int RUNNERS = 3;
    private static final int MODELS = 9;
    private static final double[] MODEL_MEGABYTES = {34, 65, 72};
    private static final Duration PAUSE_BETWEEN_HOLDERS = Duration.ofMillis(3_300);

    private final SplittableRandom mRandom;
    private final Map<EndpointId, SimulatedRunner> mRunners = new LinkedHashMap<>();
    private final List<DefaultResidencyDecider> mDeciders = new ArrayList<>();
    private final PriorityQueue<Scheduled> mQueue =
            new PriorityQueue<>(
                    Comparator.comparing(Scheduled::at).thenComparing(Scheduled::number));
    private final List<ModelReference> mWaiting = new ArrayList<>();
    private final FleetConfiguration mConfiguration;
    private Instant mNow = Instant.EPOCH;
    private Instant mOrdersFrom = Instant.MAX;
    private long mSequence;
    private long mToken;
    private int mHolder = -1;
    private boolean mFaults = true;
    private int mSentOrders;

    private record Scheduled(Instant at, long number, Runnable action) {}

    ResidencySimulation(long seed) {
        mRandom = new SplittableRandom(seed);
        Map<ModelName, EngineModel> models = new LinkedHashMap<>();
        for (int number = 0; number < MODELS; number++) {
            ModelName name = new ModelName("m" + number);
            models.put(
                    name,
                    new EngineModel(
                            name,
                            MODEL_MEGABYTES[number % MODEL_MEGABYTES.length],
                            Duration.ofMillis(600),
                            Duration.ofMillis(600),
                            Duration.ofMillis(600),
                            4,
                            1));
        }
        EngineDescription engine = new EngineDescription(4, 1_000, 150, 3, 6, models);
        mConfiguration =
                new FleetConfiguration(
                        1,
                        List.of(),
                        Map.of(SERVICE, new ServiceDescription(SERVICE, "/", 10, engine)),
                        IngressLimits.DEFAULT);
        for (int number = 0; number < RUNNERS; number++) {
            SimulatedRunner runner = new SimulatedRunner("r" + number, SERVICE, engine);
            mRunners.put(runner.id(), runner);
        }
        for (int daemon = 0; daemon < 2; daemon++) {
            mDeciders.add(new DefaultResidencyDecider(2));
            decide(daemon, new ResidencyEvent.ConfigurationChanged(mConfiguration));
        }
        changeHolder();
    }

    private void changeHolder() {
        if (mHolder >= 0) {
            decide(mHolder, new ResidencyEvent.TenureEnded());
        }
        mHolder = mHolder == 0 ? 1 : 0;
        mToken++;
        mOrdersFrom = mNow.plus(PAUSE_BETWEEN_HOLDERS);
        decide(
                mHolder,
                new ResidencyEvent.TenureBegan(new FencingToken(mToken), mOrdersFrom, Map.of()));
    }

    /** Runs the simulation with calls and faults. */
    void run(int steps) {
        for (int step = 0; step < steps; step++) {
            if (mRandom.nextInt(120) == 0) {
                changeHolder();
            }
            if (mRandom.nextInt(6) == 0) {
                addCall();
            }
            tick();
        }
    }

    private void addCall() {
        String model = "m" + mRandom.nextInt(MODELS);
        boolean adapter = mRandom.nextInt(3) == 0;
        mWaiting.add(ModelReference.parse(adapter ? model + "/a" + mRandom.nextInt(1, 5) : model));
    }

    /**
     * Runs the simulation without faults until all calls were served. Fails if that takes more than
     * 4000 steps.
     */
    void runUntilServed() {
        mFaults = false;
        for (int step = 0; step < 4_000 && !mWaiting.isEmpty(); step++) {
            tick();
        }
        if (!mWaiting.isEmpty()) {
            throw new AssertionError("models never loaded: " + mWaiting);
        }
    }

    int sentOrders() {
        return mSentOrders;
    }

    private void tick() {
        Instant until = mNow.plusMillis(mRandom.nextInt(1, 80));
        while (!mQueue.isEmpty() && !mQueue.peek().at().isAfter(until)) {
            Scheduled next = mQueue.remove();
            mNow = next.at();
            next.action().run();
        }
        mNow = until;
        mWaiting.removeIf(
                model ->
                        mRunners.values().stream()
                                .anyMatch(
                                        runner -> {
                                            runner.advance(mNow);
                                            return runner.holds(model);
                                        }));
        List<RunnerRegistration> entries =
                mRunners.values().stream().map(runner -> runner.entry(mNow)).toList();
        for (int daemon = 0; daemon < mDeciders.size(); daemon++) {
            if (mRandom.nextInt(8) == 0) {
                decide(daemon, new ResidencyEvent.RunnersListed(entries));
            }
            decide(daemon, new ResidencyEvent.DemandReported(CALLERS, SERVICE, demands()));
            decide(daemon, new ResidencyEvent.TimerFired());
        }
    }

    private List<ModelDemand> demands() {
        Map<ModelReference, Integer> counts = new LinkedHashMap<>();
        mWaiting.forEach(model -> counts.merge(model, 1, Integer::sum));
        List<ModelDemand> demands = new ArrayList<>();
        counts.forEach((model, count) -> demands.add(new ModelDemand(model, count, 0, 0)));
        return demands;
    }

    private void decide(int daemon, ResidencyEvent event) {
        for (ResidencyDecision decision : mDeciders.get(daemon).decide(event, mNow)) {
            execute(daemon, decision);
        }
    }

    private void execute(int daemon, ResidencyDecision decision) {
        if (decision instanceof ResidencyDecision.SendOrder send) {
            if (daemon != mHolder || mNow.isBefore(mOrdersFrom)) {
                throw new AssertionError("order outside the tenure of its sender: " + send);
            }
            mSentOrders++;
            send(daemon, send.order());
        } else if (decision instanceof ResidencyDecision.ReadState read) {
            schedule(
                    mRandom.nextInt(1, 20),
                    () ->
                            decide(
                                    daemon,
                                    new ResidencyEvent.StateRead(
                                            read.runner(),
                                            mRunners.get(read.runner()).state(mNow))));
        } else if (decision instanceof ResidencyDecision.ScheduleTimer schedule) {
            long millis = Math.max(0, Duration.between(mNow, schedule.at()).toMillis());
            schedule((int) millis, () -> decide(daemon, new ResidencyEvent.TimerFired()));
        }
    }

    private void send(int daemon, ResidencyOrder order) {
        SimulatedRunner runner = mRunners.get(order.runner());
        boolean late = mFaults && mRandom.nextInt(10) == 0;
        boolean replyLost = mFaults && mRandom.nextInt(10) == 0;
        if (late) {
            schedule(mRandom.nextInt(2_000, 12_000), () -> runner.order(order, mNow));
            schedule(1_000, () -> reply(daemon, order, ResidencyOrderReply.UNKNOWN));
            return;
        }
        schedule(
                mRandom.nextInt(1, 10),
                () -> {
                    ResidencyOrderReply reply = runner.order(order, mNow);
                    schedule(
                            replyLost ? 1_000 : mRandom.nextInt(1, 10),
                            () ->
                                    reply(
                                            daemon,
                                            order,
                                            replyLost ? ResidencyOrderReply.UNKNOWN : reply));
                });
    }

    private void reply(int daemon, ResidencyOrder order, ResidencyOrderReply reply) {
        decide(daemon, new ResidencyEvent.OrderReplied(order.runner(), order.number(), reply));
    }

    private void schedule(int millis, Runnable action) {
        mQueue.add(new Scheduled(mNow.plusMillis(millis), mSequence++, action));
    }
}
