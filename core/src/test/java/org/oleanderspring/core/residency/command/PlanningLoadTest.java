package org.oleanderspring.core.residency.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.IngressLimits;
import org.oleanderspring.core.route.ServiceDescription;
import org.oleanderspring.core.routing.Target;

/** Sends load requests of many daemons to a decider with two empty runners. */
class PlanningLoadTest {
    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final Instant START = Instant.EPOCH.plusSeconds(100);

    private final DefaultResidencyDecider mDecider = new DefaultResidencyDecider(4);
    private final List<ResidencyOrder> mOrders = new ArrayList<>();
    private final List<Instant> mTimers = new ArrayList<>();
    private final List<ResidencyDecision.PublishResidency> mStatements = new ArrayList<>();

    @SuppressWarnings("NullAway.Init")
    private SimulatedRunner mOne;

    @BeforeEach
    void begin() {
        Map<ModelName, EngineModel> models = new LinkedHashMap<>();
        for (String name : List.of("first", "second")) {
            ModelName model = new ModelName(name);
            Duration load = Duration.ofMillis(600);
            models.put(model, new EngineModel(model, 100, load, load, load, 0, 1));
        }
        EngineDescription engine = new EngineDescription(4, 1_000, 150, 3, 6, models);
        decide(
                new ResidencyEvent.ConfigurationChanged(
                        new FleetConfiguration(
                                1,
                                List.of(),
                                Map.of(SERVICE, new ServiceDescription(SERVICE, "/", 10, engine)),
                                IngressLimits.DEFAULT)),
                0);
        mOne = new SimulatedRunner("one", SERVICE, engine);
        SimulatedRunner two = new SimulatedRunner("two", SERVICE, engine);
        mOne.addCopy(new ModelName("first"));
        two.addCopy(new ModelName("second"));
        decide(new ResidencyEvent.RunnersListed(List.of(mOne.entry(START), two.entry(START))), 0);
        decide(new ResidencyEvent.TenureBegan(new FencingToken(1), START, Map.of()), 0);
        decide(new ResidencyEvent.StateRead(mOne.id(), mOne.state(START)), 1);
        decide(new ResidencyEvent.StateRead(two.id(), two.state(START)), 1);
        mTimers.clear();
    }

    private void decide(ResidencyEvent event, long millis) {
        for (ResidencyDecision decision : mDecider.decide(event, START.plusMillis(millis))) {
            if (decision instanceof ResidencyDecision.SendOrder send) {
                mOrders.add(send.order());
            } else if (decision instanceof ResidencyDecision.ScheduleTimer timer) {
                mTimers.add(timer.at());
            } else if (decision instanceof ResidencyDecision.PublishResidency statement) {
                mStatements.add(statement);
            }
        }
    }

    private void requestLoad(int daemon, String model, long millis) {
        decide(
                new ResidencyEvent.LoadRequested(
                        new MemberId("vm-" + daemon),
                        new Target.ServiceModelTarget(SERVICE, ModelReference.parse(model)),
                        1,
                        Duration.ofSeconds(5)),
                millis);
    }

    /**
     * Guards against a plan of the whole fleet for each load request: under many requests the
     * holder of the placement then renews its lease too late, and no model is loaded.
     */
    @Test
    void requestsInQuickSuccessionArePlannedTogether() {
        requestLoad(0, "first", 50);
        assertThat(mOrders, hasSize(1));
        mTimers.clear();
        for (int daemon = 1; daemon < 500; daemon++) {
            requestLoad(daemon, "second", 51 + daemon % 10);
        }
        assertThat("orders before the next plan", mOrders, hasSize(1));
        assertThat("timers for the next plan", mTimers, hasSize(1));
        long nextPlan = Duration.between(START, mTimers.get(0)).toMillis();
        decide(new ResidencyEvent.TimerFired(), nextPlan);
        assertThat(
                mOrders.stream().map(order -> order.model().toString()).toList(),
                contains("first", "second"));
    }

    /**
     * Guards against a daemon that missed the statement about a loaded model, whose calls then wait
     * although a runner holds the model.
     */
    @Test
    void daemonThatRequestsAHeldModelIsToldAgain() {
        mOne.hold(ModelReference.parse("first"));
        decide(new ResidencyEvent.TenureBegan(new FencingToken(2), START, Map.of()), 10);
        decide(new ResidencyEvent.StateRead(mOne.id(), mOne.state(START)), 11);
        mStatements.clear();
        requestLoad(7, "first", 50);
        assertThat(mOrders, empty());
        assertThat(mStatements, hasSize(1));
        assertThat(mStatements.get(0).daemons(), contains(new MemberId("vm-7")));
        assertThat(mStatements.get(0).residency().runner(), is(mOne.id()));
    }

    /** Guards against plans that are postponed by each further request. */
    @Test
    void requestsDoNotPostponeThePlan() {
        requestLoad(0, "first", 50);
        mOrders.clear();
        long millis = 51;
        while (mOrders.isEmpty() && millis < 200) {
            requestLoad((int) millis, "second", millis);
            millis++;
        }
        assertThat("orders at " + millis + " ms", mOrders, hasSize(1));
    }
}
