package org.oleanderspring.coordination.example;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.DispatchKeyLayout;
import org.oleanderspring.coordination.dispatch.DispatchLimits;
import org.oleanderspring.coordination.dispatch.DispatchSettings;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.coordination.dispatch.command.DefaultDispatchDecider;
import org.oleanderspring.coordination.dispatch.command.DispatchDecision;
import org.oleanderspring.coordination.dispatch.command.DispatchEvent;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.query.KeyValueQueries;

/**
 * An example of dispatch records embedded in another program, in which a single thread owns the
 * decider.
 */
final class EmbeddedRecords implements AutoCloseable {
    private static final int TICK_MILLIS = 20;

    private final ScheduledExecutorService mThread = Executors.newSingleThreadScheduledExecutor();
    private final Map<ClaimId, CompletableFuture<ClaimResult>> mClaims = new ConcurrentHashMap<>();
    private final AtomicLong mNextClaim = new AtomicLong();
    private final MemberId mSelf;
    private final KeyValueCommands mCommands;
    private final KeyValueQueries mQueries;
    private final InstantSource mClock;
    private final DefaultDispatchDecider mDecider;

    EmbeddedRecords(
            MemberId self,
            KeyValueCommands commands,
            KeyValueQueries queries,
            InstantSource clock) {
        mSelf = self;
        mCommands = commands;
        mQueries = queries;
        mClock = clock;
        mDecider =
                new DefaultDispatchDecider(
                        self,
                        new DispatchKeyLayout(new StoreKey("/program/dispatch")),
                        DispatchLimits.DEFAULT,
                        DispatchSettings.DEFAULT);
        mThread.scheduleAtFixedRate(
                () -> handle(new DispatchEvent.TimerFired()),
                TICK_MILLIS,
                TICK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    void own(Set<PartitionId> partitions) {
        offer(new DispatchEvent.OwnershipChanged(partitions));
    }

    CompletableFuture<ClaimResult> claim(IdempotencyKey key, Duration time) {
        ClaimId claim = new ClaimId(mSelf, mNextClaim.getAndIncrement());
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        mClaims.put(claim, result);
        offer(new DispatchEvent.ClaimRequested(claim, key, mClock.instant().plus(time)));
        return result;
    }

    private void offer(DispatchEvent event) {
        mThread.execute(() -> handle(event));
    }

    private void handle(DispatchEvent event) {
        mDecider.decide(event, mClock.instant()).forEach(this::execute);
    }

    private void execute(DispatchDecision decision) {
        if (decision instanceof DispatchDecision.WriteValue write) {
            mCommands
                    .compareAndSwap(write.command())
                    .thenAccept(
                            result ->
                                    offer(
                                            new DispatchEvent.WriteReplied(
                                                    write.operation(), result)));
        } else if (decision instanceof DispatchDecision.ReadValue read) {
            mQueries.read(read.key())
                    .thenAccept(
                            result ->
                                    offer(new DispatchEvent.ReadReplied(read.operation(), result)));
        } else if (decision instanceof DispatchDecision.ClaimSettled settled) {
            CompletableFuture<ClaimResult> waiting = mClaims.remove(settled.claim());
            if (waiting != null) {
                waiting.complete(settled.result());
            }
        }
    }

    @Override
    public void close() {
        mThread.shutdownNow();
    }
}
