package org.oleanderspring.core.residency.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.fleet.StatedLimit;
import org.oleanderspring.core.residency.ModelDemand;
import org.oleanderspring.core.residency.ResidencyOrderReply;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.IngressLimits;
import org.oleanderspring.core.route.ServiceDescription;
import org.oleanderspring.core.runner.CachedWeights;
import org.oleanderspring.core.runner.RunnerState;

/** Which models are loaded from the weight store, which serves one load at a time here. */
class StoreLoadTest {
    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final MemberId DAEMON = new MemberId("vm-1");
    private static final Instant START = Instant.EPOCH.plusSeconds(100);
    private static final Duration DISK_LOAD = Duration.ofMillis(800);
    private static final Duration STORE_LOAD = Duration.ofSeconds(10);

    private final DefaultResidencyDecider mDecider = new DefaultResidencyDecider(1);
    private final List<String> mLoads = new ArrayList<>();

    /** The runner and the model of each order. */
    private final List<String> mTargets = new ArrayList<>();

    /** The last estimate for each model. */
    private final Map<String, Duration> mEstimates = new LinkedHashMap<>();

    private final List<SimulatedRunner> mRunners = new ArrayList<>();
    private final EngineDescription mEngine;

    StoreLoadTest() {
        Map<ModelName, EngineModel> models = new LinkedHashMap<>();
        for (String name : List.of("busy", "rare", "other")) {
            ModelName model = new ModelName(name);
            EngineModel description =
                    new EngineModel(model, 100, STORE_LOAD, DISK_LOAD, DISK_LOAD, 0, 1);
            models.put(model, description);
        }
        mEngine = new EngineDescription(4, 1_000, 150, 3, 6, models);
    }

    private SimulatedRunner addRunner(String id, String... copies) {
        SimulatedRunner runner = new SimulatedRunner(id, SERVICE, mEngine);
        for (String copy : copies) {
            runner.addCopy(new ModelName(copy));
        }
        mRunners.add(runner);
        return runner;
    }

    private void beginTenure() {
        ServiceDescription service = new ServiceDescription(SERVICE, "/", 10, mEngine);
        decide(
                new ResidencyEvent.ConfigurationChanged(
                        new FleetConfiguration(
                                1, List.of(), Map.of(SERVICE, service), IngressLimits.DEFAULT)),
                0);
        decide(
                new ResidencyEvent.RunnersListed(
                        mRunners.stream().map(runner -> runner.entry(START)).toList()),
                0);
        decide(new ResidencyEvent.TenureBegan(new FencingToken(1), START, Map.of()), 0);
    }

    private void decide(ResidencyEvent event, long millis) {
        for (ResidencyDecision decision : mDecider.decide(event, START.plusMillis(millis))) {
            if (decision instanceof ResidencyDecision.SendOrder send) {
                mLoads.add(send.order().model().toString());
                mTargets.add(send.order().runner().value() + " " + send.order().model());
            } else if (decision instanceof ResidencyDecision.ReportReadiness estimate) {
                mEstimates.put(estimate.target().model().toString(), estimate.readyAfter());
            }
        }
    }

    private void report(ModelDemand... demands) {
        decide(new ResidencyEvent.DemandReported(DAEMON, SERVICE, List.of(demands)), 1);
    }

    private static ModelDemand demand(String model, int waiting, int arrived) {
        return new ModelDemand(ModelReference.parse(model), waiting, 0, arrived);
    }

    /**
     * Guards against a model that is loaded from the weight store a second time, or beyond the
     * number of concurrent loads, because the new holder does not know the load in progress.
     */
    @Test
    void orderOfPreviousHolderOccupiesTheStore() {
        SimulatedRunner loading = addRunner("loading");
        SimulatedRunner idle = addRunner("idle");
        beginTenure();
        report(demand("rare", 1, 1));
        RunnerState busy =
                new RunnerState(
                        List.of(), Set.of(), new CachedWeights(Set.of(), Set.of()), true, 1, 0, 0);
        decide(new ResidencyEvent.StateRead(loading.id(), busy), 2);
        decide(new ResidencyEvent.StateRead(idle.id(), idle.state(START)), 2);
        decide(new ResidencyEvent.TimerFired(), 200);
        assertThat("orders while the load is unknown", mLoads, empty());
        decide(new ResidencyEvent.StateRead(loading.id(), idle.state(START)), 300);
        RunnerState done =
                new RunnerState(
                        List.of(), Set.of(), new CachedWeights(Set.of(), Set.of()), false, 1, 0, 0);
        decide(new ResidencyEvent.StateRead(loading.id(), done), 400);
        decide(new ResidencyEvent.TimerFired(), 600);
        assertThat("orders after its end", mLoads, contains("rare"));
    }

    /**
     * Guards against a model without any copy whose calls wait while the weight store is used for
     * second copies of busy models.
     */
    @Test
    void waitingCallsGoBeforeSecondCopies() {
        SimulatedRunner one = addRunner("one", "busy", "other");
        SimulatedRunner two = addRunner("two", "other");
        beginTenure();
        report(demand("busy", 0, 30), demand("rare", 1, 1));
        decide(new ResidencyEvent.StateRead(one.id(), one.state(START)), 2);
        decide(new ResidencyEvent.StateRead(two.id(), two.state(START)), 2);
        decide(new ResidencyEvent.TimerFired(), 200);
        assertThat(mLoads, contains("rare"));
    }

    /**
     * Guards against a model that is never loaded because there is always another one for which
     * more calls wait.
     */
    @Test
    void modelThatIsAskedForLongestGoesFirst() {
        SimulatedRunner one = addRunner("one");
        beginTenure();
        for (int second = 0; second < 40; second++) {
            int arrived = second % 8 == 0 ? 1 : 0;
            decide(
                    new ResidencyEvent.DemandReported(
                            DAEMON, SERVICE, List.of(demand("rare", arrived, arrived))),
                    1_000L * second);
        }
        decide(
                new ResidencyEvent.DemandReported(
                        DAEMON, SERVICE, List.of(demand("other", 2, 2), demand("rare", 0, 0))),
                40_000);
        decide(new ResidencyEvent.StateRead(one.id(), one.state(START)), 40_000);
        decide(new ResidencyEvent.TimerFired(), 40_200);
        assertThat(mLoads, contains("rare"));
    }

    /**
     * Pattern: burst of rare models. Guards against a load of ten seconds on the runner that has
     * the only copies of models in use, whose calls then wait for its end.
     */
    @Test
    void storeLoadAvoidsTheRunnerWithTheOnlyCopiesInUse() {
        SimulatedRunner one = addRunner("one", "busy");
        SimulatedRunner two = addRunner("two", "other");
        beginTenure();
        report(demand("busy", 0, 4), demand("other", 0, 1), demand("rare", 1, 1));
        decide(new ResidencyEvent.StateRead(one.id(), one.state(START)), 2);
        decide(new ResidencyEvent.StateRead(two.id(), two.state(START)), 2);
        decide(new ResidencyEvent.TimerFired(), 200);
        assertThat(mTargets, contains("two rare"));
    }

    /**
     * Pattern: burst of rare models. Guards against callers that wait until they give up, because
     * the runner with the only copy is blocked by a load from the weight store.
     */
    @Test
    void callsForACopyOnABlockedRunnerAreToldWhenItIsFree() {
        SimulatedRunner one = addRunner("one", "other");
        beginTenure();
        report(demand("rare", 1, 1));
        decide(new ResidencyEvent.StateRead(one.id(), one.state(START)), 2);
        decide(new ResidencyEvent.TimerFired(), 200);
        decide(new ResidencyEvent.OrderReplied(one.id(), 1, ResidencyOrderReply.ACCEPTED), 210);
        report(demand("other", 1, 1), demand("rare", 1, 1));
        decide(new ResidencyEvent.TimerFired(), 700);
        assertThat(mEstimates.keySet(), hasItem("other"));
        assertThat(mEstimates.get("other"), greaterThan(STORE_LOAD.minusSeconds(1)));
    }

    /**
     * Pattern: slow weight store. Guards against callers that are kept until they give up, because
     * a load that takes twice as long as expected is announced as ready at once all the time.
     */
    @Test
    void overdueLoadIsNotAnnouncedAsReady() {
        SimulatedRunner one = addRunner("one");
        beginTenure();
        report(demand("rare", 1, 1));
        decide(new ResidencyEvent.StateRead(one.id(), one.state(START)), 2);
        decide(new ResidencyEvent.TimerFired(), 200);
        decide(new ResidencyEvent.OrderReplied(one.id(), 1, ResidencyOrderReply.ACCEPTED), 210);
        long late = STORE_LOAD.plusSeconds(5).toMillis();
        decide(
                new ResidencyEvent.DemandReported(DAEMON, SERVICE, List.of(demand("rare", 1, 1))),
                late);
        decide(new ResidencyEvent.TimerFired(), late + 100);
        assertThat(mEstimates.get("rare"), greaterThan(Duration.ofSeconds(3)));
    }

    /**
     * Pattern: mass departure. Guards against a popular model that stays on the one runner that is
     * left with a copy, because models with a call now and then always go first.
     */
    @Test
    void overloadedLastCopyGoesBeforeAModelWithOneCall() {
        SimulatedRunner one = addRunner("one", "busy");
        one.hold(ModelReference.parse("busy"));
        SimulatedRunner two = addRunner("two");
        beginTenure();
        ModelDemand busy = new ModelDemand(ModelReference.parse("busy"), 0, 40, 40);
        report(busy, demand("rare", 1, 1));
        decide(new ResidencyEvent.StateRead(one.id(), one.state(START)), 2);
        decide(new ResidencyEvent.StateRead(two.id(), two.state(START)), 2);
        decide(new ResidencyEvent.TimerFired(), 200);
        assertThat(mTargets, contains("two busy"));
    }

    /**
     * Guards against a popular model that stays on runners that limit the rate of their calls: its
     * calls are rejected there, so none of them run and the model seems to need no further copy.
     */
    @Test
    void popularModelOnLimitedRunnersGetsACopyOnAnother() {
        SimulatedRunner one = addRunner("one", "busy");
        one.hold(ModelReference.parse("busy"));
        SimulatedRunner two = addRunner("two", "busy");
        two.hold(ModelReference.parse("busy"));
        SimulatedRunner free = addRunner("unlimited");
        beginTenure();
        for (SimulatedRunner limited : List.of(one, two)) {
            EndpointStatement statement = new EndpointStatement(false, new StatedLimit.Limited(1));
            decide(new ResidencyEvent.RunnerStated(limited.id(), statement), 1);
        }
        report(demand("busy", 0, 60));
        for (SimulatedRunner runner : mRunners) {
            decide(new ResidencyEvent.StateRead(runner.id(), runner.state(START)), 2);
        }
        decide(new ResidencyEvent.TimerFired(), 200);
        assertThat(mTargets, contains(free.id().value() + " busy"));
    }

    /**
     * Guards against a popular model that loses both replicas at the same time, because each of
     * them makes way for a rare model while the other one still counts.
     */
    @Test
    void onlyOneOfTwoReplicasMakesWay() {
        SimulatedRunner one = addRunner("one", "busy", "rare");
        SimulatedRunner two = addRunner("two", "busy", "other");
        for (SimulatedRunner runner : mRunners) {
            runner.hold(ModelReference.parse("busy"));
        }
        beginTenure();
        report(demand("busy", 0, 30), demand("rare", 1, 1), demand("other", 1, 1));
        for (SimulatedRunner runner : List.of(one, two)) {
            decide(new ResidencyEvent.StateRead(runner.id(), runner.state(START)), 2);
        }
        decide(new ResidencyEvent.TimerFired(), 200);
        decide(new ResidencyEvent.TimerFired(), 400);
        assertThat("models that are unloaded", mLoads, contains("busy"));
    }
}
