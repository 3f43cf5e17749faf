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
    private record WaitingClaim(long number, Instant deadline) {}

    private final SimulatedKeyValueStore mStore;
    private final ClaimStatistics mStatistics;
    private final Duration mClaimTimeout;
    private final Duration mWriteInterval;
    private final ArrayDeque<WaitingClaim> mWaiting = new ArrayDeque<>();
    private Instant mNextWrite = Instant.EPOCH;

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
    public void claim(long number) {
        mWaiting.add(new WaitingClaim(number, mStore.now().plus(mClaimTimeout)));
        tick();
    }

    @Override
    public void tick() {
        Instant now = mStore.now();
        while (!mWaiting.isEmpty() && !now.isBefore(mWaiting.element().deadline())) {
            mStatistics.recordSettled(mWaiting.remove().number(), false, now);
        }
        while (!mWaiting.isEmpty() && !now.isBefore(mNextWrite)) {
            // Writes that were due since the last tick are made now, but no budget is saved up
            // while
            // there are no claims.
            Instant earliestCredit = now.minus(RecordThroughput.TICK);
            mNextWrite =
                    (mNextWrite.isBefore(earliestCredit) ? earliestCredit : mNextWrite)
                            .plus(mWriteInterval);
            write(mWaiting.remove().number());
        }
    }

    private void write(long number) {
        CompareAndSwap command =
                new CompareAndSwap(
                        new StoreKey("/dispatch/" + number),
                        Revision.ABSENT,
                        "DISPATCHED".getBytes(UTF_8),
                        StoreLeaseId.NONE);
        mStore.write(
                command,
                result ->
                        mStatistics.recordSettled(
                                number, result instanceof WriteResult.Written, mStore.now()));
    }
}
