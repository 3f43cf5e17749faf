package org.oleanderspring.core.residency.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.residency.ResidencyOrderKind;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.EngineModel;

/**
 * Guards against more concurrent loads than the weight store serves at full speed: each of them
 * takes longer and blocks its runner in the meantime.
 */
class StoreConcurrencyTest {
    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final ModelName MODEL = new ModelName("m1");
    private static final Instant START = Instant.EPOCH.plusSeconds(100);
    private static final Duration LOAD = Duration.ofSeconds(10);

    private final StoreConcurrency mConcurrency = new StoreConcurrency(4);
    private final EngineDescription mEngine =
            new EngineDescription(
                    4,
                    1_000,
                    150,
                    3,
                    6,
                    Map.of(
                            MODEL,
                            new EngineModel(
                                    MODEL,
                                    100,
                                    LOAD,
                                    Duration.ofSeconds(1),
                                    Duration.ofSeconds(1),
                                    0,
                                    1)));
    private final List<SimulatedRunner> mRunners = new ArrayList<>();
    private final List<RunnerRecord> mRecords = new ArrayList<>();

    private void beginLoad(Instant now) {
        SimulatedRunner runner = new SimulatedRunner("r" + mRunners.size(), SERVICE, mEngine);
        RunnerRecord record = new RunnerRecord(runner.entry(START), mEngine);
        record.applyState(runner.state(now), now, Duration.ZERO);
        ResidencyOrder order =
                new ResidencyOrder(
                        1,
                        runner.id(),
                        ResidencyOrderKind.LOAD,
                        new ModelReference(MODEL, null),
                        record.acceptedOrders(),
                        new FencingToken(1));
        record.orderSent(order);
        record.orderAccepted(order, now.plus(LOAD), now);
        mRunners.add(runner);
        mRecords.add(record);
        mConcurrency.observe(mRecords, now);
    }

    private void endLoad(int index, Instant now) {
        SimulatedRunner runner = mRunners.get(index);
        runner.hold(new ModelReference(MODEL, null));
        RunnerRecord record = mRecords.get(index);
        record.update(runner.entry(now), mEngine, now);
        mConcurrency.observe(mRecords, now);
    }

    @Test
    void loadsThatSlowEachOtherDownLowerTheLimit() {
        for (int load = 0; load < 4; load++) {
            beginLoad(START);
        }
        endLoad(0, START.plus(LOAD));
        endLoad(1, START.plus(LOAD));
        assertThat("after loads at full speed", mConcurrency.limit(), is(4));
        endLoad(2, START.plusSeconds(15));
        assertThat("after the third load", mConcurrency.limit(), is(2));
    }

    @Test
    void loadsAtFullSpeedRaiseTheLimitAgain() {
        beginLoad(START);
        beginLoad(START);
        endLoad(1, START.plusSeconds(20));
        assertThat("after a slow load", mConcurrency.limit(), is(1));
        endLoad(0, START.plusSeconds(20));
        Instant soon = START.plusSeconds(30);
        beginLoad(soon);
        endLoad(2, soon.plus(LOAD));
        assertThat("soon after a slow load", mConcurrency.limit(), is(1));
        Instant later = START.plusSeconds(90);
        beginLoad(later);
        endLoad(3, later.plus(LOAD));
        assertThat("after a load at full speed", mConcurrency.limit(), is(2));
    }
}
