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
 * The alternative of one key for each call, created by compare-and-swap; the same write budget, and
 * a claim that waits beyond its time is refused.
 */
final class KeyPerCallScheme implements RecordScheme {
    private record Waiting(long number, Instant deadline) {}

    private final VirtualStore mStore;
    private final ClaimStatistics mStatistics;
    private final Duration mClaimTime;
    private final Duration mWriteGap;
    private final ArrayDeque<Waiting> mWaiting = new ArrayDeque<>();
    private Instant mNextWrite = Instant.EPOCH;

    KeyPerCallScheme(
            VirtualStore store,
            ClaimStatistics statistics,
            Duration claimTime,
            int writesPerSecond) {
        mStore = store;
        mStatistics = statistics;
        mClaimTime = claimTime;
        mWriteGap = Duration.ofSeconds(1).dividedBy(writesPerSecond);
    }

    @Override
    public void claim(long number) {
        mWaiting.add(new Waiting(number, mStore.now().plus(mClaimTime)));
        tick();
    }

    @Override
    public void tick() {
        Instant now = mStore.now();
        while (!mWaiting.isEmpty() && !now.isBefore(mWaiting.element().deadline())) {
            mStatistics.settled(mWaiting.remove().number(), false, now);
        }
        while (!mWaiting.isEmpty() && !now.isBefore(mNextWrite)) {
            // The time between two ticks is made up for, but not the time without claims.
            Instant earliest = now.minus(RecordThroughput.TICK);
            mNextWrite = (mNextWrite.isBefore(earliest) ? earliest : mNextWrite).plus(mWriteGap);
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
                        mStatistics.settled(
                                number, result instanceof WriteResult.Written, mStore.now()));
    }
}
