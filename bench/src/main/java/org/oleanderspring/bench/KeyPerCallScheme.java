package org.oleanderspring.bench;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.WriteResult;

/**
 * One key for each call, created by compare-and-swap. It has the same write budget as group commit,
 * and a claim that waits longer than the claim timeout is refused.
 */
final class KeyPerCallScheme implements DispatchRecordScheme {
    private record WaitingClaim(long call, Instant deadline) {}

    private final SimulatedKeyValueStore mStore;
    private final ClaimStatistics mStatistics;
    private final Duration mClaimTimeout;
    private final Duration mWriteInterval;
    private final ArrayDeque<WaitingClaim> mWaiting = new ArrayDeque<>();

    /** The time from which the write budget allows the next write. */
    private Instant mNextWriteAt = Instant.EPOCH;

    KeyPerCallScheme(
            SimulatedKeyValueStore store,
            ClaimStatistics statistics,
            Duration claimTimeout,
            int writesPerSecond) {
        mStore = store;
        mStatistics = statistics;
        mClaimTimeout = claimTimeout;
        mWriteInterval = Duration.ofSeconds(1).dividedBy(writesPerSecond);
    }

    @Override
    public void claim(long call) {
        mWaiting.add(new WaitingClaim(call, mStore.now().plus(mClaimTimeout)));
        tick();
    }

    @Override
    public void tick() {
        Instant now = mStore.now();
        while (!mWaiting.isEmpty() && !now.isBefore(mWaiting.element().deadline())) {
            mStatistics.recordSettled(mWaiting.remove().call(), false, now);
        }
        while (!mWaiting.isEmpty() && !now.isBefore(mNextWriteAt)) {
            // Makes the writes that became due since the last tick. Earlier unused budget is lost,
            // so that no burst of writes follows a time without claims.
            Instant budgetStart = now.minus(RecordThroughput.TICK);
            mNextWriteAt =
                    (mNextWriteAt.isBefore(budgetStart) ? budgetStart : mNextWriteAt)
                            .plus(mWriteInterval);
            write(mWaiting.remove().call());
        }
    }

    private void write(long call) {
        CompareAndSwap command =
                new CompareAndSwap(
                        new StoreKey("/dispatch/" + call),
                        Revision.ABSENT,
                        "DISPATCHED".getBytes(UTF_8),
                        StoreLeaseId.NONE);
        mStore.write(
                command,
                result ->
                        mStatistics.recordSettled(
                                call, result instanceof WriteResult.Written, mStore.now()));
    }
}
