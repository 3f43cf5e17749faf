package org.oleanderspring.coordination.example;

import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.oleanderspring.coordination.lease.LeaseCandidacy;
import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.lease.LeaseOptions;
import org.oleanderspring.coordination.lease.command.DefaultLeaseDecider;
import org.oleanderspring.coordination.lease.command.LeaseDecision;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.query.KeyValueQueries;

/** An example of leases embedded in another program, in which a single thread owns the decider. */
final class EmbeddedLeases implements AutoCloseable {
    private static final int TICK_MILLIS = 100;

    private final ScheduledExecutorService mThread = Executors.newSingleThreadScheduledExecutor();
    private final KeyValueCommands mCommands;
    private final KeyValueQueries mQueries;
    private final InstantSource mClock;
    private final Consumer<LeaseDecision> mListener;
    private final DefaultLeaseDecider mDecider;

    EmbeddedLeases(
            MemberId self,
            KeyValueCommands commands,
            KeyValueQueries queries,
            InstantSource clock,
            Consumer<LeaseDecision> listener) {
        mCommands = commands;
        mQueries = queries;
        mClock = clock;
        mListener = listener;
        mDecider =
                new DefaultLeaseDecider(
                        self,
                        name -> new StoreKey("/program/leases/" + name),
                        LeaseOptions.DEFAULT,
                        new Random(self.hashCode()));
        mThread.scheduleAtFixedRate(
                () -> handle(new LeaseEvent.TimerFired()),
                TICK_MILLIS,
                TICK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    void compete(LeaseName name, int rank) {
        offer(new LeaseEvent.CandidaciesChanged(List.of(new LeaseCandidacy(name, rank))));
    }

    void stop() {
        offer(new LeaseEvent.StopRequested());
    }

    private void offer(LeaseEvent event) {
        mThread.execute(() -> handle(event));
    }

    private void handle(LeaseEvent event) {
        mDecider.decide(event, mClock.instant()).forEach(this::execute);
    }

    private void execute(LeaseDecision decision) {
        if (decision instanceof LeaseDecision.GrantServiceLease grant) {
            reply(grant.operation(), mCommands.grantLease(grant.timeToLive()));
        } else if (decision instanceof LeaseDecision.RenewServiceLease renew) {
            reply(renew.operation(), mCommands.renewLease(renew.lease()));
        } else if (decision instanceof LeaseDecision.RevokeServiceLease revoke) {
            reply(revoke.operation(), mCommands.revokeLease(revoke.lease()));
        } else if (decision instanceof LeaseDecision.WriteKey write) {
            mCommands
                    .compareAndSwap(write.command())
                    .thenAccept(
                            result ->
                                    offer(
                                            new LeaseEvent.KeyWriteReplied(
                                                    write.operation(), result)));
        } else if (decision instanceof LeaseDecision.ReadKey read) {
            mQueries.read(read.key())
                    .thenAccept(
                            result ->
                                    offer(new LeaseEvent.KeyReadReplied(read.operation(), result)));
        } else {
            mListener.accept(decision);
        }
    }

    private void reply(StoreOperationId operation, CompletableFuture<StoreLeaseResult> call) {
        call.thenAccept(result -> offer(new LeaseEvent.ServiceLeaseReplied(operation, result)));
    }

    @Override
    public void close() {
        mThread.shutdownNow();
    }
}
