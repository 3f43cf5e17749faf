package org.oleanderspring.coordination.dispatch.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.DispatchKeyLayout;
import org.oleanderspring.coordination.dispatch.DispatchLimits;
import org.oleanderspring.coordination.dispatch.DispatchSettings;
import org.oleanderspring.coordination.dispatch.KeyHash;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.query.DispatchQueries;
import org.oleanderspring.coordination.dispatch.query.PartitionStatus;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * Records calls in groups: one write to the key-value service covers all claims that wait for a
 * partition.
 *
 * <p>A call starts at most once because it starts only after {@link ClaimResult.Claimed}, which
 * only one claim of a key receives: the one whose write added the key's record to the chain of
 * stored values (see {@link OwnedPartition}). A daemon that was paused cannot extend the chain
 * after another daemon has increased the owner term.
 *
 * <p>A claim that is not confirmed by its deadline is settled as {@link ClaimResult.Unavailable}.
 * Its record may have been written or may still be written. This is safe: the result is final, so
 * the call never starts, and the record only causes later claims of the key to be settled as {@link
 * ClaimResult.AlreadyClaimed}. If the owner finds the record later, it records the outcome {@code
 * NOT_RUN}.
 *
 * <p>A record is removed after its retention. A claim's deadline is limited to half of the
 * retention, so that no claim is confirmed after its record may have been removed.
 */
public final class DefaultDispatchDecider implements DispatchDecider, DispatchQueries {
    private final DispatchContext mContext;
    private final WriteBudget mBudget;
    private final TreeMap<PartitionId, OwnedPartition> mPartitions = new TreeMap<>();
    private long mNextClaim;

    /**
     * Creates a decider without partitions.
     *
     * @param self the identity of this daemon run
     * @param keys the layout of the keys that store the records
     * @param limits size limits and durations
     * @param settings the settings until the operators' settings are known
     */
    public DefaultDispatchDecider(
            MemberId self,
            DispatchKeyLayout keys,
            DispatchLimits limits,
            DispatchSettings settings) {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(keys, "keys");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(settings, "settings");
        mContext = new DispatchContext(self, keys, limits, settings);
        mBudget = new WriteBudget(settings.writesPerSecond());
    }

    @Override
    public List<DispatchDecision> decide(DispatchEvent event, Instant now) {
        for (WaitingClaim claim : mContext.overdueClaims(now)) {
            expire(claim);
        }
        handle(event, now);
        for (OwnedPartition partition : mPartitions.values()) {
            partition.step(now);
        }
        writeWithinBudget(now);
        return mContext.takeDecisions();
    }

    @Override
    public List<PartitionStatus> partitions() {
        List<PartitionStatus> statuses = new ArrayList<>();
        for (OwnedPartition partition : mPartitions.values()) {
            statuses.add(partition.status());
        }
        return statuses;
    }

    @Override
    public int waitingClaims() {
        return mContext.waitingClaims();
    }

    private void handle(DispatchEvent event, Instant now) {
        if (event instanceof DispatchEvent.ClaimRequested requested) {
            claim(requested, now);
        } else if (event instanceof DispatchEvent.OutcomeReported reported) {
            KeyHash key = KeyHash.of(reported.key());
            OwnedPartition partition = mPartitions.get(partitionOf(key));
            if (partition != null) {
                partition.addOutcome(key, reported.state(), now);
            }
        } else if (event instanceof DispatchEvent.WriteReplied replied) {
            OwnedPartition partition = mContext.mOperations.remove(replied.operation());
            if (partition != null) {
                partition.writeReplied(replied.operation(), replied.result(), now);
            }
        } else if (event instanceof DispatchEvent.ReadReplied replied) {
            OwnedPartition partition = mContext.mOperations.remove(replied.operation());
            if (partition != null) {
                partition.readReplied(replied.operation(), replied.result(), now);
            }
        } else if (event instanceof DispatchEvent.OwnershipChanged changed) {
            setOwnedPartitions(changed.partitions(), now);
        } else if (event instanceof DispatchEvent.SettingsChanged changed) {
            mContext.setSettings(changed.settings());
            mBudget.setRate(changed.settings().writesPerSecond());
        }
    }

    private void claim(DispatchEvent.ClaimRequested requested, Instant now) {
        KeyHash key = KeyHash.of(requested.key());
        PartitionId id = partitionOf(key);
        OwnedPartition partition = mPartitions.get(id);
        if (partition == null) {
            refuse(requested, "partition " + id + " is owned by another daemon");
            return;
        }
        if (partition.isWaiting(requested.claim())) {
            return;
        }
        if (mContext.waitingClaims() >= mContext.mLimits.waitingClaimLimit()) {
            refuse(requested, "too many claims wait");
            return;
        }
        Instant latest = now.plus(mContext.settings().retention().dividedBy(2));
        Instant deadline = requested.deadline().isBefore(latest) ? requested.deadline() : latest;
        if (!now.isBefore(deadline)) {
            refuse(requested, "the deadline has passed");
            return;
        }
        partition.addClaim(
                new WaitingClaim(mNextClaim++, requested.claim(), key, now, deadline), now);
    }

    private void refuse(DispatchEvent.ClaimRequested requested, String reason) {
        mContext.add(
                new DispatchDecision.ClaimSettled(
                        requested.claim(), new ClaimResult.Unavailable(reason)));
    }

    private void expire(WaitingClaim claim) {
        OwnedPartition partition = mPartitions.get(partitionOf(claim.mKey));
        if (partition != null) {
            partition.expire(claim);
        }
    }

    private void setOwnedPartitions(Set<PartitionId> wanted, Instant now) {
        for (PartitionId id : List.copyOf(mPartitions.keySet())) {
            if (!wanted.contains(id)) {
                Objects.requireNonNull(mPartitions.remove(id)).release();
            }
        }
        for (PartitionId id : wanted) {
            if (!mPartitions.containsKey(id)) {
                mPartitions.put(id, new OwnedPartition(id, mContext, now));
            }
        }
    }

    private void writeWithinBudget(Instant now) {
        while (mBudget.isAvailable(now)) {
            OwnedPartition next = longestWaiting(now);
            if (next == null) {
                return;
            }
            next.write(now);
            mBudget.take();
        }
    }

    private @Nullable OwnedPartition longestWaiting(Instant now) {
        OwnedPartition longest = null;
        for (OwnedPartition partition : mPartitions.values()) {
            boolean earlier =
                    longest == null || partition.waitingSince().isBefore(longest.waitingSince());
            if (partition.wantsWrite(now) && earlier) {
                longest = partition;
            }
        }
        return longest;
    }

    private PartitionId partitionOf(KeyHash key) {
        return PartitionId.of(key, mContext.mLimits.partitionCount());
    }
}
