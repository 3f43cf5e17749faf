package org.oleanderspring.coordination.lease.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.lease.LeaseCandidacy;
import org.oleanderspring.coordination.lease.LeaseKeyLayout;
import org.oleanderspring.coordination.lease.LeaseLossReason;
import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.lease.LeaseSettings;
import org.oleanderspring.coordination.lease.LeaseValue;
import org.oleanderspring.coordination.lease.LeaseValueCodec;
import org.oleanderspring.coordination.lease.command.CompetedLease.Pending;
import org.oleanderspring.coordination.lease.query.LeaseQueries;
import org.oleanderspring.coordination.lease.query.LeaseStatus;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/**
 * Competes for leases by compare-and-swap on a key per lease, bound to one service lease.
 *
 * <p>A key is created, or taken over once its writer freed it, by compare-and-swap at the revision
 * last seen, so of several candidates one succeeds. After a write without a reply the key is read
 * and its mark compared: a mark of this daemon run with the current service lease means that the
 * lease is held, whichever of the writes took effect. A key of another writer is read again about
 * one time to live later, spread at random so that candidates do not read in step; a dead holder's
 * key is gone by then.
 *
 * <p>A lease is released by writing a free mark, because the service has no removal of a single
 * key. The free mark also ends a create that is still under way, since the key then exists. All
 * leases together are released by revoking the service lease.
 */
public final class DefaultLeaseDecider implements LeaseDecider, LeaseQueries {
    /** A key of another writer is read again after three to five quarters of a time to live. */
    private static final double LOWEST_POLL_SHARE = 0.75;

    private static final double HIGHEST_POLL_SHARE = 1.25;

    private final MemberId mSelf;
    private final LeaseKeyLayout mKeys;
    private final LeaseSettings mSettings;
    private final RandomGenerator mJitter;
    private final ServiceLease mService;
    private final TreeMap<LeaseName, CompetedLease> mLeases = new TreeMap<>();
    private final Map<StoreOperationId, CompetedLease> mOperations = new HashMap<>();
    private List<LeaseDecision> mDecisions = new ArrayList<>();
    private long mNextOperation = 1;
    private long mNextWrite = 1;
    private boolean mStopping;
    private boolean mHandedOver;

    /**
     * Creates a decider without leases.
     *
     * @param self the identity of this daemon run
     * @param keys where the keys are
     * @param settings the times
     * @param jitter spreads the reads of candidates; give each daemon its own seed
     */
    public DefaultLeaseDecider(
            MemberId self, LeaseKeyLayout keys, LeaseSettings settings, RandomGenerator jitter) {
        mSelf = Objects.requireNonNull(self, "self");
        mKeys = Objects.requireNonNull(keys, "keys");
        mSettings = Objects.requireNonNull(settings, "settings");
        mJitter = Objects.requireNonNull(jitter, "jitter");
        mService = new ServiceLease(settings);
    }

    @Override
    public List<LeaseDecision> decide(LeaseEvent event, Instant now) {
        mDecisions = new ArrayList<>();
        if (!mService.usable(now)) {
            loseAll(LeaseLossReason.EXPIRED, now);
        }
        handle(event, now);
        if (mStopping) {
            stepStopping(now);
        } else {
            step(now);
        }
        return mDecisions;
    }

    @Override
    public boolean holds(LeaseName name, Instant now) {
        CompetedLease lease = mLeases.get(name);
        return lease != null && lease.mHeld && mService.usable(now);
    }

    @Override
    public FencingToken token(LeaseName name) {
        CompetedLease lease = mLeases.get(name);
        return lease == null || !lease.mHeld
                ? FencingToken.NONE
                : new FencingToken(lease.mRevision.value());
    }

    @Override
    public List<LeaseStatus> leases(Instant now) {
        List<LeaseStatus> statuses = new ArrayList<>();
        for (CompetedLease lease : mLeases.values()) {
            if (lease.mWanted) {
                statuses.add(new LeaseStatus(lease.mName, lease.mRank, holds(lease.mName, now)));
            }
        }
        return statuses;
    }

    private void handle(LeaseEvent event, Instant now) {
        if (event instanceof LeaseEvent.CandidaciesChanged changed) {
            compete(changed.candidacies(), now);
        } else if (event instanceof LeaseEvent.ServiceLeaseReplied replied) {
            if (mService.replied(replied.operation(), replied.result(), now)) {
                loseAll(LeaseLossReason.LAPSED, now);
            }
        } else if (event instanceof LeaseEvent.KeyWriteReplied replied) {
            writeReplied(replied.operation(), replied.result(), now);
        } else if (event instanceof LeaseEvent.KeyReadReplied replied) {
            readReplied(replied.operation(), replied.result(), now);
        } else if (event instanceof LeaseEvent.KeyFreed freed) {
            keyFreed(freed, now);
        } else if (event instanceof LeaseEvent.HandoverRequested requested) {
            handOver(requested);
        } else if (event instanceof LeaseEvent.StopRequested) {
            stop(now);
        }
    }

    private void compete(List<LeaseCandidacy> candidacies, Instant now) {
        if (mStopping) {
            return;
        }
        for (CompetedLease lease : mLeases.values()) {
            lease.mWanted = false;
        }
        for (LeaseCandidacy candidacy : candidacies) {
            CompetedLease lease = mLeases.get(candidacy.name());
            if (lease == null) {
                lease =
                        new CompetedLease(
                                candidacy.name(),
                                mKeys.keyOf(candidacy.name()),
                                candidacy.rank(),
                                now.plus(rankDelay(candidacy.rank())));
                mLeases.put(candidacy.name(), lease);
            }
            lease.mWanted = true;
            lease.mRank = candidacy.rank();
        }
    }

    /** The lease is freed with the next step, as one that is no longer wanted. */
    private void handOver(LeaseEvent.HandoverRequested requested) {
        CompetedLease lease = mLeases.get(requested.name());
        if (lease != null) {
            lease.mWanted = false;
            lease.mHandover = lease.mHeld ? requested.handover() : null;
        }
    }

    private void keyFreed(LeaseEvent.KeyFreed freed, Instant now) {
        CompetedLease lease = mLeases.get(freed.name());
        if (lease == null || lease.mHeld || lease.mUnsettled || lease.mPending != null) {
            return;
        }
        lease.mRevision = freed.revision();
        lease.mFoundHandover = freed.handover();
        lease.mWritable = true;
        lease.mNextStep = now.plus(rankDelay(lease.mRank));
    }

    private void stop(Instant now) {
        mStopping = true;
        mService.stop(now);
        loseAll(LeaseLossReason.RELEASED, now);
        mLeases.clear();
        mOperations.clear();
    }

    private void stepStopping(Instant now) {
        mService.forgetIfEnded(now);
        mService.step(false, nextOperation(), now, mDecisions);
        if (mService.isGone() && !mHandedOver) {
            mHandedOver = true;
            mDecisions.add(new LeaseDecision.AllLeasesReleased());
        }
    }

    private void step(Instant now) {
        boolean needed = false;
        for (CompetedLease lease : List.copyOf(mLeases.values())) {
            stepLease(lease, now);
            needed |= lease.mWanted;
        }
        mService.step(needed, nextOperation(), now, mDecisions);
    }

    private void stepLease(CompetedLease lease, Instant now) {
        dropOverduePending(lease, now);
        if (lease.mPending != null) {
            return;
        }
        if (lease.mHeld) {
            if (lease.mWanted) {
                return;
            }
            lose(lease, LeaseLossReason.RELEASED, now);
            lease.mWritable = true;
            lease.mUnsettled = true;
        }
        if (!lease.mWanted && !lease.mUnsettled) {
            mLeases.remove(lease.mName);
            return;
        }
        if (now.isBefore(lease.mNextStep)) {
            return;
        }
        if (!lease.mWanted) {
            readOrWrite(lease, StoreLeaseId.NONE, now);
            return;
        }
        StoreLeaseId serviceLease = mService.lease();
        if (serviceLease != null && mService.usable(now)) {
            readOrWrite(lease, serviceLease, now);
        }
    }

    private void readOrWrite(CompetedLease lease, StoreLeaseId serviceLease, Instant now) {
        StoreOperationId operation = nextOperation();
        mOperations.put(operation, lease);
        if (!lease.mWritable) {
            lease.mPending = new Pending(operation, now, null);
            mDecisions.add(new LeaseDecision.ReadKey(operation, lease.mKey));
            return;
        }
        boolean frees = serviceLease.equals(StoreLeaseId.NONE);
        LeaseValue mark =
                new LeaseValue(mSelf, serviceLease, mNextWrite++, frees ? lease.mHandover : null);
        if (mark.isFree()) {
            lease.mFreedRevision = lease.mRevision;
        }
        lease.mPending = new Pending(operation, now, mark);
        CompareAndSwap write =
                new CompareAndSwap(
                        lease.mKey, lease.mRevision, LeaseValueCodec.encode(mark), serviceLease);
        mDecisions.add(new LeaseDecision.WriteKey(operation, write));
    }

    private void writeReplied(StoreOperationId operation, WriteResult result, Instant now) {
        CompetedLease lease = mOperations.remove(operation);
        Pending pending = lease == null ? null : lease.mPending;
        if (lease == null || pending == null || pending.mark() == null) {
            return;
        }
        lease.mPending = null;
        if (result instanceof WriteResult.Written written) {
            written(lease, pending.mark(), written.revision(), now);
        } else if (result instanceof WriteResult.Conflict conflict) {
            observe(lease, conflict.current(), now);
        } else if (result instanceof WriteResult.Unavailable) {
            lease.mNextStep = now.plus(mSettings.retryDelay());
        } else {
            outcomeUnknown(lease, now);
        }
    }

    private void readReplied(StoreOperationId operation, ReadResult result, Instant now) {
        CompetedLease lease = mOperations.remove(operation);
        if (lease == null || lease.mPending == null) {
            return;
        }
        lease.mPending = null;
        if (result instanceof ReadResult.Found found) {
            observe(lease, found.values().isEmpty() ? null : found.values().get(0), now);
            return;
        }
        lease.mNextStep = now.plus(mSettings.retryDelay());
    }

    private void written(CompetedLease lease, LeaseValue mark, Revision revision, Instant now) {
        String handover = lease.mFoundHandover;
        lease.mRevision = revision;
        lease.mFoundHandover = null;
        lease.mNextStep = now;
        if (mark.isFree()) {
            lease.mUnsettled = false;
            lease.mWritable = true;
            return;
        }
        ownMarkFound(lease, mark, handover, now);
    }

    /** Compares what the key holds with the marks of this daemon run. */
    private void observe(CompetedLease lease, @Nullable StoredValue value, Instant now) {
        lease.mRevision = value == null ? Revision.ABSENT : value.revision();
        Optional<LeaseValue> mark =
                value == null ? Optional.empty() : LeaseValueCodec.decode(value.bytes());
        boolean free = value == null || mark.map(LeaseValue::isFree).orElse(false);
        lease.mFoundHandover = mark.map(LeaseValue::handover).orElse(null);
        if (free) {
            lease.mWritable = true;
            lease.mNextStep = now.plus(lease.mWanted ? rankDelay(lease.mRank) : Duration.ZERO);
            return;
        }
        if (mark.isPresent() && mark.get().writer().equals(mSelf)) {
            lease.mNextStep = now;
            ownMarkFound(lease, mark.get(), null, now);
            return;
        }
        lease.mUnsettled = now.isBefore(lease.mCreateSettledAt);
        lease.mWritable = false;
        lease.mNextStep = now.plus(pollDelay());
    }

    private void ownMarkFound(
            CompetedLease lease, LeaseValue mark, @Nullable String handover, Instant now) {
        boolean current = mark.serviceLease().equals(mService.lease());
        boolean mayBeFreed = lease.mRevision.equals(lease.mFreedRevision);
        if (current && lease.mWanted && !mayBeFreed && mService.usable(now)) {
            lease.mHeld = true;
            lease.mUnsettled = false;
            mDecisions.add(new LeaseDecision.LeaseAcquired(lease.mName, handover));
            return;
        }
        // A key of an earlier service lease is written again, bound to the current one. A key of
        // the current service lease is only read until a renewal makes that lease usable.
        lease.mUnsettled = true;
        lease.mWritable = !current || !lease.mWanted || mayBeFreed;
    }

    private void outcomeUnknown(CompetedLease lease, Instant now) {
        if (lease.mRevision.equals(Revision.ABSENT)) {
            lease.mCreateSettledAt = now.plus(mSettings.timeToLive());
        }
        lease.mUnsettled = true;
        lease.mWritable = false;
        lease.mNextStep = now;
    }

    private void dropOverduePending(CompetedLease lease, Instant now) {
        Pending pending = lease.mPending;
        if (pending == null || now.isBefore(pending.sentAt().plus(mSettings.operationTimeout()))) {
            return;
        }
        mOperations.remove(pending.operation());
        lease.mPending = null;
        if (pending.mark() != null) {
            outcomeUnknown(lease, now);
        }
    }

    private void loseAll(LeaseLossReason reason, Instant now) {
        for (CompetedLease lease : mLeases.values()) {
            if (lease.mHeld) {
                lose(lease, reason, now);
            }
        }
    }

    private void lose(CompetedLease lease, LeaseLossReason reason, Instant now) {
        lease.mHeld = false;
        lease.mUnsettled = true;
        lease.mWritable = false;
        lease.mNextStep = now;
        mDecisions.add(new LeaseDecision.LeaseLost(lease.mName, reason));
    }

    private StoreOperationId nextOperation() {
        return new StoreOperationId(mNextOperation++);
    }

    private Duration rankDelay(int rank) {
        return mSettings.rankDelay().multipliedBy(rank);
    }

    private Duration pollDelay() {
        double share = mJitter.nextDouble(LOWEST_POLL_SHARE, HIGHEST_POLL_SHARE);
        return Duration.ofMillis((long) (mSettings.timeToLive().toMillis() * share));
    }
}
