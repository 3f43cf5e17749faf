package org.oleanderspring.daemon.gateway.placement.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.lease.LeaseOptions;
import org.oleanderspring.coordination.lease.command.DefaultLeaseDecider;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;
import org.oleanderspring.coordination.store.query.ValueQueries;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.port.query.FetchResult;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.residency.ResidencyOrderReply;
import org.oleanderspring.core.residency.command.DefaultResidencyDecider;
import org.oleanderspring.core.residency.command.ResidencyEvent;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.runner.CachedWeights;
import org.oleanderspring.core.runner.LoadedModel;
import org.oleanderspring.core.runner.RunnerState;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.daemon.gateway.GatewayMember;
import org.oleanderspring.daemon.gateway.GatewaySettings;
import org.oleanderspring.daemon.gateway.SampleSettings;
import org.oleanderspring.daemon.gateway.StoreUpdate;
import org.oleanderspring.daemon.process.SuspendAwareClock;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.duty.command.OfferResult;
import org.oleanderspring.duty.query.RingUsage;

/** Runs the placement duty against a store and runners that reply when the test says so. */
class ResidencyDutyTest {
    private static final Duration PAUSE = Duration.ofMillis(3_300);
    private static final LeaseOptions LEASE_OPTIONS =
            new LeaseOptions(
                    Duration.ofSeconds(3),
                    Duration.ofMillis(800),
                    Duration.ofMillis(800),
                    Duration.ofMillis(200),
                    Duration.ofMillis(100));
    private static final ServiceName SERVICE = new ServiceName("engine");
    private static final Address STORE = new Address("127.0.0.1", 1);
    private static final String CONFIGURATION =
            """
            {"version":1,"routes":[],
             "services":[{"name":"engine","healthPath":"/healthz","maxConnections":100,
               "engine":{"slots":4,"kvCapacityTokens":1000,"weightsMb":100,"adapterSlots":2,
                "loadsPerS":50,"models":[
                 {"name":"m1","weightsMb":60,"loadS":0.15,"adapters":0,"adapterMb":1}]}}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,
              "idleTimeoutMs":15000}}
            """;
    private static final String ENTRY =
            """
            {"service":"engine","address":"127.0.0.1:9","zone":"east","version":1,"slots":4,
             "state":"ready","coldRemainingMs":0,"seq":0,"born":1700000000000,
             "models":[],"available":{"inMemory":[],"onDisk":["m1"]}}
            """;

    private final TestClock mWall = new TestClock();
    private final TestStore mStore = new TestStore();
    private final Deque<ResidencyInput> mRing = new ArrayDeque<>();
    private final List<ResidencyOrder> mOrders = new ArrayList<>();
    private final List<GatewayMember> mNotified = new ArrayList<>();
    private final Set<ModelName> mHeld = new HashSet<>();
    private final DutyTimer mTimer = new DutyTimer();
    private final ResidencyDuty mDuty = newDuty();

    @AfterEach
    void stop() {
        mTimer.close();
    }

    private ResidencyDuty newDuty() {
        Address address = new Address("127.0.0.1", 80);
        GatewaySettings settings = SampleSettings.at(address, STORE, PAUSE);
        ResidencyPorts ports =
                new ResidencyPorts(
                        mStore,
                        mStore,
                        (runner, instance, holder, order) -> {
                            mOrders.add(order);
                            return new CompletableFuture<ResidencyOrderReply>();
                        },
                        runner ->
                                CompletableFuture.completedFuture(
                                        new FetchResult.Found<>(runnerState())),
                        new RecordingNotifier(),
                        new SilentPace());
        return new ResidencyDuty(
                settings,
                new DefaultLeaseDecider(
                        settings.self().id(),
                        GatewayKeys::leaseKey,
                        LEASE_OPTIONS,
                        new SplittableRandom(1)),
                LEASE_OPTIONS.safetyMargin(),
                new DefaultResidencyDecider(2),
                ports,
                new SuspendAwareClock(mWall, mWall::nanos),
                mTimer,
                event -> {
                    mRing.add(event);
                    return OfferResult.ACCEPTED;
                },
                new EmptyRing());
    }

    private RunnerState runnerState() {
        List<LoadedModel> models =
                mHeld.stream().map(name -> new LoadedModel(name, Set.of())).toList();
        CachedWeights copies = new CachedWeights(Set.of(), Set.of(new ModelName("m1")));
        return new RunnerState(models, Set.of(), copies, false, 0, 0, 0);
    }

    private void handle(ResidencyInput input) {
        mRing.add(input);
        while (!mRing.isEmpty()) {
            mDuty.handle(mRing.remove());
        }
    }

    private void tickAfter(Duration elapsed) {
        mWall.advance(elapsed);
        handle(new ResidencyInput.TimerFired());
    }

    private void put(StoreKey prefix, String name, String value) {
        StoredValue stored = TestStore.value(name, value);
        handle(
                new ResidencyInput.StoreChanged(
                        prefix.equals(GatewayKeys.CONFIGURATION)
                                ? StoreUpdate.ConfigurationRead.of(stored, problem -> {})
                                : new StoreUpdate.Listed(prefix, List.of(stored))));
    }

    private static GatewayMember otherDaemon() {
        return GatewayMember.of("vm-2", STORE);
    }

    private void requestLoad() {
        Target.ServiceModelTarget target =
                new Target.ServiceModelTarget(SERVICE, ModelReference.parse("m1"));
        handle(
                new ResidencyInput.Placement(
                        new ResidencyEvent.LoadRequested(
                                otherDaemon().id(), target, 1, Duration.ofSeconds(5))));
    }

    /** Acquires the placement lease and waits until orders may be sent. */
    private void beginTenure() {
        put(GatewayKeys.CONFIGURATION, GatewayKeys.CONFIGURATION.path(), CONFIGURATION);
        put(GatewayKeys.RUNNERS, GatewayKeys.RUNNERS.path() + "i-1", ENTRY);
        handle(mDuty.candidacyInput());
        tickUntil(Duration.ofSeconds(4));
    }

    private void tickUntil(Duration elapsed) {
        for (long tick = 0; tick < elapsed.toMillis() / 100; tick++) {
            tickAfter(Duration.ofMillis(100));
        }
    }

    /**
     * Guards against a pause without orders after this daemon has renewed its own lease too late
     * for its own clock: no other daemon can have sent an order in between.
     */
    @Test
    void leaseThatNobodyElseHeldIsResumedWithoutPause() {
        beginTenure();
        mStore.holdBackRenewals();
        tickAfter(Duration.ofMillis(1_100));
        tickAfter(Duration.ofMillis(700));
        tickAfter(Duration.ofMillis(700));
        requestLoad();
        assertThat("orders without a valid lease", mOrders, is(empty()));
        mStore.releaseRenewals();
        tickAfter(Duration.ofMillis(300));
        tickAfter(Duration.ofMillis(100));
        requestLoad();
        tickAfter(Duration.ofMillis(100));
        assertThat("orders after the renewal", mOrders, hasSize(1));
    }

    /** Guards against orders without a pause after another daemon has held the lease. */
    @Test
    void leaseThatAnotherDaemonHeldBeginsWithAPause() {
        beginTenure();
        mStore.endLease();
        tickUntil(Duration.ofSeconds(2));
        requestLoad();
        tickAfter(Duration.ofMillis(100));
        assertThat("orders during the pause", mOrders, is(empty()));
        tickUntil(PAUSE);
        requestLoad();
        tickAfter(Duration.ofMillis(100));
        assertThat("orders after the pause", mOrders, hasSize(1));
    }

    /**
     * Guards against orders of two daemons to one runner within the pause, because the time of day
     * was set forward by seconds and back during it.
     */
    @Test
    void timeOfDayThatJumpsDoesNotShortenThePause() {
        beginTenure();
        mStore.endLease();
        tickUntil(Duration.ofSeconds(2));
        mWall.step(Duration.ofSeconds(2));
        tickUntil(Duration.ofSeconds(1));
        requestLoad();
        mWall.step(Duration.ofSeconds(-2));
        tickUntil(Duration.ofMillis(200));
        assertThat("orders during the pause", mOrders, is(empty()));
        tickUntil(Duration.ofSeconds(6));
        requestLoad();
        tickAfter(Duration.ofMillis(100));
        assertThat("orders after the pause", mOrders, hasSize(1));
    }

    /**
     * Guards against orders of a holder that knows that the key-value service came back from a
     * copy, which may lack its lease.
     */
    @Test
    void holderStopsOrderingWhenTheStoreIsRestored() {
        beginTenure();
        handle(
                new ResidencyInput.StoreChanged(
                        new StoreUpdate.Restored(GatewayKeys.DAEMONS, new StoreEra(2))));
        requestLoad();
        tickAfter(Duration.ofMillis(100));
        assertThat(mOrders, is(empty()));
    }

    /**
     * Guards against calls that wait at a stopping daemon until it ends: it has released its leases
     * and must still learn which runner holds the model.
     */
    @Test
    void daemonWithoutLeaseLearnsWhoHoldsAModel() {
        mHeld.add(new ModelName("m1"));
        beginTenure();
        mNotified.clear();
        requestLoad();
        assertThat(mNotified, hasItem(otherDaemon()));
    }

    /** A wall clock and a monotonic clock that the test advances. */
    private static final class TestClock extends Clock {
        private Instant mNow = Instant.EPOCH.plusSeconds(1_000);

        private long mNanos;

        void advance(Duration elapsed) {
            mNow = mNow.plus(elapsed);
            mNanos += elapsed.toNanos();
        }

        /** Sets the time of day forward; the monotonic clock doesn't notice. */
        void step(Duration step) {
            mNow = mNow.plus(step);
        }

        long nanos() {
            return mNanos;
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return mNow;
        }
    }

    /** A store that can hold back the replies to renewals and end leases. */
    private static final class TestStore implements KeyValueCommands, ValueQueries {
        private final Map<StoreKey, StoredValue> mValues = new HashMap<>();
        private final Map<CompletableFuture<StoreLeaseResult>, StoreLeaseResult> mHeldBack =
                new LinkedHashMap<>();
        private boolean mHoldsBack;
        private long mLease;
        private long mRevision;
        private boolean mLeaseEnded;

        static StoredValue value(String key, String text) {
            return new StoredValue(
                    new StoreKey(key), text.getBytes(StandardCharsets.UTF_8), new Revision(1));
        }

        void holdBackRenewals() {
            mHoldsBack = true;
        }

        void releaseRenewals() {
            mHoldsBack = false;
            mHeldBack.forEach(CompletableFuture::complete);
            mHeldBack.clear();
        }

        void endLease() {
            mLeaseEnded = true;
            mValues.clear();
        }

        @Override
        public CompletableFuture<ReadResult> read(StoreKey key) {
            StoredValue value = mValues.get(key);
            return CompletableFuture.completedFuture(
                    new ReadResult.Found(value == null ? List.of() : List.of(value)));
        }

        @Override
        public CompletableFuture<WriteResult> compareAndSwap(CompareAndSwap command) {
            StoredValue current = mValues.get(command.key());
            Revision revision = current == null ? Revision.ABSENT : current.revision();
            if (!revision.equals(command.expected())) {
                return CompletableFuture.completedFuture(new WriteResult.Conflict(current));
            }
            Revision written = new Revision(++mRevision);
            mValues.put(command.key(), new StoredValue(command.key(), command.bytes(), written));
            return CompletableFuture.completedFuture(new WriteResult.Written(written));
        }

        @Override
        public CompletableFuture<StoreLeaseResult> grantLease(Duration timeToLive) {
            mLeaseEnded = false;
            return CompletableFuture.completedFuture(
                    new StoreLeaseResult.Held(new StoreLeaseId(++mLease), timeToLive));
        }

        @Override
        public CompletableFuture<StoreLeaseResult> renewLease(StoreLeaseId lease) {
            StoreLeaseResult result =
                    mLeaseEnded
                            ? new StoreLeaseResult.Lapsed()
                            : new StoreLeaseResult.Held(lease, Duration.ofSeconds(3));
            if (!mHoldsBack) {
                return CompletableFuture.completedFuture(result);
            }
            CompletableFuture<StoreLeaseResult> reply = new CompletableFuture<>();
            mHeldBack.put(reply, result);
            return reply;
        }

        @Override
        public CompletableFuture<StoreLeaseResult> revokeLease(StoreLeaseId lease) {
            return CompletableFuture.completedFuture(new StoreLeaseResult.Lapsed());
        }
    }

    /** Records the daemons that get statements. */
    private final class RecordingNotifier implements ResidencyNotifier {
        @Override
        public void notifyEndpointLoads(GatewayMember member, List<EndpointLoad> loads) {}

        @Override
        public void notifyResidency(GatewayMember member, Residency residency) {
            mNotified.add(member);
        }

        @Override
        public void notifyReadyTime(
                GatewayMember member, Target.ServiceModelTarget target, Duration readyAfter) {}
    }

    /** Ignores the pace of the watch. */
    private static final class SilentPace implements RunnerWatchPace {
        @Override
        public void useShortPause() {}

        @Override
        public void useLongPause() {}
    }

    /** The usage of a ring that is always empty. */
    private static final class EmptyRing implements RingUsage {
        @Override
        public long capacity() {
            return 1;
        }

        @Override
        public long used() {
            return 0;
        }

        @Override
        public Duration busy() {
            return Duration.ZERO;
        }

        @Override
        public Duration lastWait() {
            return Duration.ZERO;
        }

        @Override
        public long rejectedOffers() {
            return 0;
        }
    }
}
