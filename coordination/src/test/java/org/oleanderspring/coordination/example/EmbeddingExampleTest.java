package org.oleanderspring.coordination.example;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.dispatch.DispatchLimits;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.coordination.fake.FakeKeyValueService;
import org.oleanderspring.coordination.fake.VirtualTime;
import org.oleanderspring.coordination.lease.LeaseLossReason;
import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.lease.command.LeaseDecision;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.KeyValueQueries;
import org.oleanderspring.coordination.store.query.ReadResult;
import org.oleanderspring.coordination.store.query.WatchListener;
import org.oleanderspring.coordination.store.query.WatchSubscription;

class EmbeddingExampleTest {
    private static final Duration CLAIM_TIME = Duration.ofSeconds(20);

    /** Guards against an example on docs/coordination.md that no longer works. */
    @Test
    void secondClaimOfAKeyFindsTheRecord() {
        InMemoryPorts ports = new InMemoryPorts();
        MemberId self = new MemberId("program-1");
        try (EmbeddedRecords records =
                new EmbeddedRecords(self, ports, ports, InstantSource.system())) {
            records.own(allPartitions());
            IdempotencyKey key = new IdempotencyKey("order-4711");
            assertThat(records.claim(key, CLAIM_TIME).join(), is(new ClaimResult.Claimed()));
            assertThat(
                    records.claim(key, CLAIM_TIME).join(),
                    is(new ClaimResult.AlreadyClaimed(RecordState.DISPATCHED)));
        }
    }

    /** Guards against an example of leases that no longer works. */
    @Test
    void leaseIsHeldUntilTheProgramStops() throws InterruptedException {
        InMemoryPorts ports = new InMemoryPorts();
        BlockingQueue<LeaseDecision> seen = new LinkedBlockingQueue<>();
        LeaseName name = new LeaseName("nightly-report");
        try (EmbeddedLeases leases =
                new EmbeddedLeases(
                        new MemberId("program-1"),
                        ports,
                        ports,
                        InstantSource.system(),
                        seen::add)) {
            leases.compete(name, 0);
            assertThat(seen.take(), is(new LeaseDecision.LeaseAcquired(name, null)));
            leases.stop();
            assertThat(
                    seen.take(), is(new LeaseDecision.LeaseLost(name, LeaseLossReason.RELEASED)));
            assertThat(seen.take(), is(new LeaseDecision.AllLeasesReleased()));
        }
    }

    private static Set<PartitionId> allPartitions() {
        return IntStream.range(0, DispatchLimits.DEFAULT.partitionCount())
                .mapToObj(PartitionId::new)
                .collect(Collectors.toSet());
    }

    /** The ports to a service in memory that replies at once. */
    private static final class InMemoryPorts implements KeyValueCommands, KeyValueQueries {
        private final FakeKeyValueService mService = new FakeKeyValueService(new VirtualTime());

        @Override
        public CompletableFuture<WriteResult> compareAndSwap(CompareAndSwap command) {
            return CompletableFuture.completedFuture(mService.write(command));
        }

        @Override
        public CompletableFuture<ReadResult> read(StoreKey key) {
            return CompletableFuture.completedFuture(mService.read(key));
        }

        @Override
        public CompletableFuture<StoreLeaseResult> grantLease(Duration timeToLive) {
            return CompletableFuture.completedFuture(mService.grant(timeToLive));
        }

        @Override
        public CompletableFuture<StoreLeaseResult> renewLease(StoreLeaseId lease) {
            return CompletableFuture.completedFuture(mService.renew(lease));
        }

        @Override
        public CompletableFuture<StoreLeaseResult> revokeLease(StoreLeaseId lease) {
            return CompletableFuture.completedFuture(mService.revoke(lease));
        }

        @Override
        public CompletableFuture<ReadResult> readPrefix(StoreKey prefix) {
            return CompletableFuture.completedFuture(new ReadResult.Unavailable("not offered"));
        }

        @Override
        public WatchSubscription watch(StoreKey prefix, WatchListener listener) {
            listener.failed("not offered");
            return () -> {};
        }
    }
}
