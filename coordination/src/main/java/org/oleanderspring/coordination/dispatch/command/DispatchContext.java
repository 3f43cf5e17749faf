package org.oleanderspring.coordination.dispatch.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.oleanderspring.coordination.dispatch.DispatchKeyLayout;
import org.oleanderspring.coordination.dispatch.DispatchLimits;
import org.oleanderspring.coordination.dispatch.DispatchSettings;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreOperationId;

/**
 * State shared by the partitions of one daemon: configuration, waiting claims, pending operations
 * and the decisions being collected.
 */
final class DispatchContext {
    final MemberId mSelf;
    final DispatchKeyLayout mKeys;
    final DispatchLimits mLimits;

    /** The operations without a reply, with the partition that waits for the reply. */
    final Map<StoreOperationId, OwnedPartition> mOperations = new HashMap<>();

    /**
     * Partitions whose stored records were reverted to an older state; their claims are refused for
     * the rest of this daemon run.
     */
    final Set<PartitionId> mPartitionsWithLostRecords = new HashSet<>();

    private final TreeSet<WaitingClaim> mWaiting = new TreeSet<>(WaitingClaim.BY_DEADLINE);
    private DispatchSettings mSettings;
    private List<DispatchDecision> mDecisions = new ArrayList<>();
    private long mNextOperation = 1;
    private long mNextWrite = 1;

    DispatchContext(
            MemberId self,
            DispatchKeyLayout keys,
            DispatchLimits limits,
            DispatchSettings settings) {
        mSelf = self;
        mKeys = keys;
        mLimits = limits;
        mSettings = settings;
    }

    DispatchSettings settings() {
        return mSettings;
    }

    void setSettings(DispatchSettings settings) {
        mSettings = settings;
    }

    /** Returns the identifier of a new operation and registers the partition for its reply. */
    StoreOperationId nextOperation(OwnedPartition partition) {
        StoreOperationId operation = new StoreOperationId(mNextOperation++);
        mOperations.put(operation, partition);
        return operation;
    }

    /** Returns a write number that is unique within this daemon run. */
    long nextWrite() {
        return mNextWrite++;
    }

    void add(DispatchDecision decision) {
        mDecisions.add(decision);
    }

    List<DispatchDecision> takeDecisions() {
        List<DispatchDecision> decisions = mDecisions;
        mDecisions = new ArrayList<>();
        return decisions;
    }

    void enqueue(WaitingClaim claim) {
        mWaiting.add(claim);
    }

    int waitingClaims() {
        return mWaiting.size();
    }

    /** Returns the waiting claims whose deadline has passed. */
    List<WaitingClaim> overdueClaims(Instant now) {
        List<WaitingClaim> overdue = new ArrayList<>();
        for (WaitingClaim claim : mWaiting) {
            if (now.isBefore(claim.mDeadline)) {
                break;
            }
            overdue.add(claim);
        }
        return overdue;
    }

    /** Ends the waiting of a claim and reports its result. */
    void settle(WaitingClaim claim, ClaimResult result) {
        claim.mSettled = true;
        mWaiting.remove(claim);
        add(new DispatchDecision.ClaimSettled(claim.mId, result));
    }
}
