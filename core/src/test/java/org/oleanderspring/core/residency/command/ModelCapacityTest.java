package org.oleanderspring.core.residency.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.fleet.StatedLimit;
import org.oleanderspring.core.residency.ModelDemand;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.IngressLimits;
import org.oleanderspring.core.route.ServiceDescription;
import org.oleanderspring.core.runner.RunnerRegistration;

/** How much of a model's demand its replicas serve when some of them limit their call rate. */
class ModelCapacityTest {
    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final ModelName MODEL = new ModelName("busy");
    private static final Instant NOW = Instant.EPOCH.plusSeconds(100);
    private static final Duration LOAD_TIME = Duration.ofSeconds(1);

    private static final EngineDescription ENGINE =
            new EngineDescription(
                    4,
                    1_000,
                    150,
                    3,
                    6,
                    Map.of(
                            MODEL,
                            new EngineModel(MODEL, 100, LOAD_TIME, LOAD_TIME, LOAD_TIME, 0, 1)));

    private final RunnerFleet mFleet = new RunnerFleet();
    private final DemandTracker mDemand = new DemandTracker();
    private final ModelCapacity mCapacity = new ModelCapacity(mFleet, mDemand);
    private final List<RunnerRecord> mRecords = new ArrayList<>();

    /** Two runners hold the model, of which the first takes one call a second. */
    ModelCapacityTest() {
        List<RunnerRegistration> registrations = new ArrayList<>();
        for (String id : List.of("limited", "unlimited")) {
            SimulatedRunner runner = new SimulatedRunner(id, SERVICE, ENGINE);
            runner.hold(ModelReference.parse(MODEL.value()));
            registrations.add(runner.entry(NOW));
        }
        mFleet.applyConfiguration(
                new FleetConfiguration(
                        1,
                        List.of(),
                        Map.of(SERVICE, new ServiceDescription(SERVICE, "/", 10, ENGINE)),
                        IngressLimits.DEFAULT),
                NOW);
        mFleet.applyRunners(registrations, NOW);
        mRecords.addAll(mFleet.records());
        limit(NOW);
        ModelDemand demand = new ModelDemand(ModelReference.parse(MODEL.value()), 0, 1, 60);
        mDemand.applyReport(new MemberId("vm-1"), SERVICE, List.of(demand), NOW);
    }

    private void limit(Instant now) {
        mFleet.applyStatement(
                mRecords.get(0).registration().id(),
                new EndpointStatement(false, new StatedLimit.Limited(1)),
                now);
    }

    /**
     * Guards against the only replica that takes any number of calls being unloaded for a rare
     * model, because a limited one counts as much.
     */
    @Test
    void unlimitedReplicaServesWhatALimitedOneDoesNot() {
        double rate = mDemand.rate(SERVICE, MODEL, NOW);
        double limited = mCapacity.rateAt(mRecords.get(0), MODEL, NOW);
        assertThat(limited, is(ModelCapacity.SHARE_OF_LIMIT));
        assertThat(mCapacity.rateAt(mRecords.get(1), MODEL, NOW), closeTo(rate - limited, 1e-9));
    }

    /** Guards against a limit that outlives the daemons' reports of it. */
    @Test
    void limitEndsWhenNobodyReportsIt() {
        Instant later = NOW.plusSeconds(3);
        double first = mCapacity.rateAt(mRecords.get(0), MODEL, later);
        assertThat(mCapacity.rateAt(mRecords.get(1), MODEL, later), equalTo(first));
        assertThat(mCapacity.usedLimit(mRecords.get(0), MODEL, later), is(0.0));
    }

    /** Guards against loads on a runner whose limit is used up by the models that it holds. */
    @Test
    void usedLimitCountsTheAddedModel() {
        assertThat(
                mCapacity.usedLimit(mRecords.get(0), new ModelName("rare"), NOW),
                is(ModelCapacity.SHARE_OF_LIMIT));
        assertThat(mCapacity.usedLimit(mRecords.get(0), MODEL, NOW), is(1.0));
    }
}
