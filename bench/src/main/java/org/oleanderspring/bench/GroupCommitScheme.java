package org.oleanderspring.bench;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
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

/**
 * Group commit: one owner of all partitions, run by the dispatch decider, writes the records of
 * many calls with one write.
 */
final class GroupCommitScheme implements DispatchRecordScheme {
    private static final MemberId OWNER = new MemberId("owner");

    private final SimulatedKeyValueStore mStore;
    private final ClaimStatistics mStatistics;
    private final Duration mClaimTimeout;
    private final DefaultDispatchDecider mDecider;

    GroupCommitScheme(
            SimulatedKeyValueStore store,
            ClaimStatistics statistics,
            Duration claimTimeout,
            int writesPerSecond,
            int sealBytes) {
        mStore = store;
        mStatistics = statistics;
        mClaimTimeout = claimTimeout;
        mDecider =
                new DefaultDispatchDecider(
                        OWNER,
                        new DispatchKeyLayout(new StoreKey("/dispatch")),
                        limits(sealBytes),
                        new DispatchSettings(Duration.ofDays(1), writesPerSecond));
        Set<PartitionId> allPartitions = new HashSet<>();
        for (int number = 0; number < DispatchLimits.DEFAULT.partitionCount(); number++) {
            allPartitions.add(new PartitionId(number));
        }
        handle(new DispatchEvent.OwnershipChanged(allPartitions));
    }

    /** Returns the default limits with another seal size. */
    private static DispatchLimits limits(int sealBytes) {
        DispatchLimits limits = DispatchLimits.DEFAULT;
        return new DispatchLimits(
                limits.partitionCount(),
                limits.waitingClaimLimit(),
                limits.recordLimit(),
                sealBytes,
                limits.operationTimeout(),
                limits.retryDelay(),
                limits.takeoverDelay(),
                limits.outcomeDelay());
    }

    @Override
    public void claim(long call) {
        handle(
                new DispatchEvent.ClaimRequested(
                        new ClaimId(OWNER, call),
                        new IdempotencyKey("call-" + call),
                        mStore.now().plus(mClaimTimeout)));
    }

    @Override
    public void tick() {
        handle(new DispatchEvent.TimerFired());
    }

    private void handle(DispatchEvent event) {
        mDecider.decide(event, mStore.now()).forEach(this::execute);
    }

    private void execute(DispatchDecision decision) {
        if (decision instanceof DispatchDecision.WriteValue write) {
            mStore.write(
                    write.command(),
                    result -> handle(new DispatchEvent.WriteReplied(write.operation(), result)));
        } else if (decision instanceof DispatchDecision.ReadValue read) {
            mStore.read(
                    read.key(),
                    result -> handle(new DispatchEvent.ReadReplied(read.operation(), result)));
        } else if (decision instanceof DispatchDecision.ClaimSettled settled) {
            boolean claimed = settled.result() instanceof ClaimResult.Claimed;
            mStatistics.recordSettled(settled.claim().number(), claimed, mStore.now());
        }
    }
}
