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

/** One owner of all partitions that uses the dispatch decider. */
final class GroupCommitScheme implements RecordScheme {
    private static final MemberId OWNER = new MemberId("owner");

    private final VirtualStore mStore;
    private final ClaimStatistics mStatistics;
    private final Duration mClaimTime;
    private final DefaultDispatchDecider mDecider;

    GroupCommitScheme(
            VirtualStore store,
            ClaimStatistics statistics,
            Duration claimTime,
            int writesPerSecond,
            int sealBytes) {
        mStore = store;
        mStatistics = statistics;
        mClaimTime = claimTime;
        mDecider =
                new DefaultDispatchDecider(
                        OWNER,
                        new DispatchKeyLayout(new StoreKey("/dispatch")),
                        limits(sealBytes),
                        new DispatchSettings(Duration.ofDays(1), writesPerSecond));
        Set<PartitionId> all = new HashSet<>();
        for (int number = 0; number < DispatchLimits.DEFAULT.partitionCount(); number++) {
            all.add(new PartitionId(number));
        }
        decide(new DispatchEvent.OwnershipChanged(all));
    }

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
    public void claim(long number) {
        decide(
                new DispatchEvent.ClaimRequested(
                        new ClaimId(OWNER, number),
                        new IdempotencyKey("call-" + number),
                        mStore.now().plus(mClaimTime)));
    }

    @Override
    public void tick() {
        decide(new DispatchEvent.TimerFired());
    }

    private void decide(DispatchEvent event) {
        mDecider.decide(event, mStore.now()).forEach(this::execute);
    }

    private void execute(DispatchDecision decision) {
        if (decision instanceof DispatchDecision.WriteValue write) {
            mStore.write(
                    write.command(),
                    result -> decide(new DispatchEvent.WriteReplied(write.operation(), result)));
        } else if (decision instanceof DispatchDecision.ReadValue read) {
            mStore.read(
                    read.key(),
                    result -> decide(new DispatchEvent.ReadReplied(read.operation(), result)));
        } else if (decision instanceof DispatchDecision.ClaimSettled settled) {
            boolean claimed = settled.result() instanceof ClaimResult.Claimed;
            mStatistics.settled(settled.claim().number(), claimed, mStore.now());
        }
    }
}
