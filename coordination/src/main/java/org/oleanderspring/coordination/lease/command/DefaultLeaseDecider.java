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
import org.oleanderspring.coordination.lease.LeaseOptions;
import org.oleanderspring.coordination.lease.LeaseValue;
import org.oleanderspring.coordination.lease.LeaseValueCodec;
import org.oleanderspring.coordination.lease.command.TrackedLease.Pending;
import org.oleanderspring.coordination.lease.query.LeaseQueries;
import org.oleanderspring.coordination.lease.query.LeaseStatus;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.ObservedEra;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/**
 * Competes for leases by compare-and-swap on one key per lease. All keys of a daemon are bound to
 * one lease of the key-value service, the service lease.
 *
 * <p>A key is created, or overwritten once its writer has released the lease, by compare-and-swap
 * on the revision last seen, so only one of several candidates succeeds. After a write without a
 * reply the key is read and its value compared: a value of this daemon run with the current service
 * lease means that the lease is held, whichever of the writes took effect. A key of another writer
 * is read again after about one poll interval. The delay is randomized so that the candidates do
 * not read at the same time.
 *
 * <p>A lease is released by writing a value without a service lease (see {@link
 * LeaseValue#isReleased}), because the key-value port has no operation that removes a single key.
 * This write also makes a create that is still in flight fail, since the key then exists. All
 * leases together are released by revoking the service lease.
 *
 * <p>When the key-value service comes back from a copy, an acknowledged lease proves nothing any
 * more: the service may have lost it, or may have granted its identity and the revision of its key
 * to another daemon. All leases are then lost at once, and every key is read again before it is
 * written. Answers of an earlier era count as lost. A holder that has not seen the new era stops
 * when its lease ends by its own clock; see {@code docs/design/store-recovery.md} for how long the
 * next holder waits for it.
 */
public final class DefaultLeaseDecider implements LeaseDecider, LeaseQueries {
    /** A key of another writer is read again after 0.75 to 1.25 times the poll interval. */
    private static final double MIN_POLL_FACTOR = 0.75;

    private static final double MAX_POLL_FACTOR = 1.25;

    private static final String OTHER_ERA = "an answer of an earlier era of the key-value service";

    private final MemberId mSelf;
    private final LeaseKeyLayout mKeys;
    private final LeaseOptions mOptions;
    private final RandomGenerator mJitter;
    private final ServiceLease mServiceLease;
    private final ObservedEra mEra = new ObservedEra();
    private Instant mEarlierHoldersUntil = Instant.MIN;
    private final TreeMap<LeaseName, TrackedLease> mLeases = new TreeMap<>();
    private final Map<StoreOperationId, TrackedLease> mOperations = new HashMap<>();
    private List<LeaseDecision> mDecisions = new ArrayList<>();
    private long mNextOperation = 1;
    private long mNextWrite = 1;
    private boolean mStopping;
    private boolean mReleaseReported;

    /**
     * Creates a decider without leases.
     *
     * @param self the identity of this daemon run
     * @param keys maps lease names to keys
     * @param options time-outs and delays
     * @param jitter randomizes the poll delay; use a different seed for each daemon
     */
    public DefaultLeaseDecider(
            MemberId self, LeaseKeyLayout keys, LeaseOptions options, RandomGenerator jitter) {
        mSelf = Objects.requireNonNull(self, "self");
        mKeys = Objects.requireNonNull(keys, "keys");
        mOptions = Objects.requireNonNull(options, "options");
        mJitter = Objects.requireNonNull(jitter, "jitter");
        mServiceLease = new ServiceLease(options);
    }

    @Override
    public List<LeaseDecision> decide(LeaseEvent event, Instant now) {
        mDecisions = new ArrayList<>();
        if (!mServiceLease.isUsable(now)) {
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
        TrackedLease lease = mLeases.get(name);
        return lease != null && lease.mHeld && mServiceLease.isUsable(now);
    }

    @Override
    public FencingToken token(LeaseName name) {
        TrackedLease lease = mLeases.get(name);
        return lease == null || !lease.mHeld ? FencingToken.NONE : FencingToken.of(lease.mRevision);
    }

    @Override
    public Instant earlierHoldersUntil() {
        return mEarlierHoldersUntil;
    }

    @Override
    public List<LeaseStatus> leases(Instant now) {
        List<LeaseStatus> statuses = new ArrayList<>();
        for (TrackedLease lease : mLeases.values()) {
            if (lease.mWanted) {
                statuses.add(new LeaseStatus(lease.mName, lease.mRank, holds(lease.mName, now)));
            }
        }
        return statuses;
    }

    private void handle(LeaseEvent event, Instant now) {
        if (event instanceof LeaseEvent.CandidaciesChanged changed) {
            setCandidacies(changed.candidacies(), now);
        } else if (event instanceof LeaseEvent.ServiceLeaseReplied replied) {
            serviceLeaseReplied(replied, now);
        } else if (event instanceof LeaseEvent.KeyWriteReplied replied) {
            boolean valid = isCurrent(replied.result().answeredIn(), now);
            WriteResult lost = new WriteResult.Unknown(OTHER_ERA);
            writeReplied(replied.operation(), valid ? replied.result() : lost, now);
        } else if (event instanceof LeaseEvent.KeyReadReplied replied) {
            boolean valid = isCurrent(replied.result().answeredIn(), now);
            ReadResult lost = new ReadResult.Unavailable(OTHER_ERA);
            readReplied(replied.operation(), valid ? replied.result() : lost, now);
        } else if (event instanceof LeaseEvent.KeyReleased released) {
            keyReleased(released, now);
        } else if (event instanceof LeaseEvent.KeyObserved observed) {
            keyObserved(observed, now);
        } else if (event instanceof LeaseEvent.EraObserved observed) {
            isCurrent(observed.era(), now);
        } else if (event instanceof LeaseEvent.HandoverRequested requested) {
            handOver(requested);
        } else if (event instanceof LeaseEvent.StopRequested) {
            stop(now);
        }
    }

    private void serviceLeaseReplied(LeaseEvent.ServiceLeaseReplied replied, Instant now) {
        boolean valid = isCurrent(replied.result().answeredIn(), now);
        StoreLeaseResult lost = new StoreLeaseResult.Unavailable(OTHER_ERA);
        if (mServiceLease.replied(replied.operation(), valid ? replied.result() : lost, now)) {
            loseAll(LeaseLossReason.LAPSED, now);
        }
    }

    /**
     * Records the era of an answer, and gives everything up that an earlier era acknowledged.
     *
     * @param era the era, or null if there was no answer
     * @return whether the answer is not of an earlier era
     */
    private boolean isCurrent(@Nullable StoreEra era, Instant now) {
        ObservedEra.Observation observation =
                era == null ? ObservedEra.Observation.CURRENT : mEra.observe(era);
        if (observation == ObservedEra.Observation.RISEN) {
            mEarlierHoldersUntil = now.plus(mOptions.timeToLive()).minus(mOptions.safetyMargin());
            loseAll(LeaseLossReason.RESTORED, now);
            mServiceLease.restored(now);
            mLeases.values().forEach(lease -> restored(lease, now));
        }
        return observation != ObservedEra.Observation.STALE;
    }

    /** Makes a lease's key be read again; the replies to operations in flight are ignored. */
    private void restored(TrackedLease lease, Instant now) {
        Pending pending = lease.mPending;
        if (pending != null) {
            mOperations.remove(pending.operation());
            lease.mPending = null;
            lease.mUnsettled |= pending.value() != null;
        }
        lease.mRevision = Revision.ABSENT;
        lease.mPreviousHandover = null;
        lease.mCanWrite = false;
        lease.mNextStep = now;
    }

    /** Gives a held lease up whose key another daemon has written since. */
    private void keyObserved(LeaseEvent.KeyObserved observed, Instant now) {
        if (!isCurrent(observed.revision().era(), now)) {
            return;
        }
        TrackedLease lease = mLeases.get(observed.name());
        if (lease != null
                && lease.mHeld
                && !observed.value().writer().equals(mSelf)
                && observed.revision().compareTo(lease.mRevision) > 0) {
            lose(lease, LeaseLossReason.SUPERSEDED, now);
        }
    }

    private void setCandidacies(List<LeaseCandidacy> candidacies, Instant now) {
        if (mStopping) {
            return;
        }
        for (TrackedLease lease : mLeases.values()) {
            lease.mWanted = false;
        }
        for (LeaseCandidacy candidacy : candidacies) {
            TrackedLease lease = mLeases.get(candidacy.name());
            if (lease == null) {
                lease =
                        new TrackedLease(
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

    /** Marks the lease as no longer wanted, so that the next step releases it. */
    private void handOver(LeaseEvent.HandoverRequested requested) {
        TrackedLease lease = mLeases.get(requested.name());
        if (lease != null) {
            lease.mWanted = false;
            lease.mHandover = lease.mHeld ? requested.handover() : null;
        }
    }

    private void keyReleased(LeaseEvent.KeyReleased released, Instant now) {
        boolean isAbsent = released.revision().equals(Revision.ABSENT);
        if (!isAbsent && !isCurrent(released.revision().era(), now)) {
            return;
        }
        TrackedLease lease = mLeases.get(released.name());
        if (lease == null || lease.mHeld || lease.mUnsettled || lease.mPending != null) {
            return;
        }
        lease.mRevision = released.revision();
        lease.mPreviousHandover = released.handover();
        lease.mCanWrite = true;
        lease.mNextStep = now.plus(rankDelay(lease.mRank));
    }

    private void stop(Instant now) {
        mStopping = true;
        mServiceLease.stop(now);
        loseAll(LeaseLossReason.RELEASED, now);
        mLeases.clear();
        mOperations.clear();
    }

    private void stepStopping(Instant now) {
        mServiceLease.clearIfExpired(now);
        mServiceLease.step(false, nextOperation(), now, mDecisions);
        if (mServiceLease.isEnded() && !mReleaseReported) {
            mReleaseReported = true;
            mDecisions.add(new LeaseDecision.AllLeasesReleased());
        }
    }

    private void step(Instant now) {
        boolean needed = false;
        for (TrackedLease lease : List.copyOf(mLeases.values())) {
            stepLease(lease, now);
            needed |= lease.mWanted;
        }
        mServiceLease.step(needed, nextOperation(), now, mDecisions);
    }

    private void stepLease(TrackedLease lease, Instant now) {
        dropOverduePending(lease, now);
        if (lease.mPending != null) {
            return;
        }
        if (lease.mHeld) {
            if (lease.mWanted) {
                return;
            }
            lose(lease, LeaseLossReason.RELEASED, now);
            lease.mCanWrite = true;
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
        StoreLeaseId serviceLease = mServiceLease.lease();
        if (serviceLease != null && mServiceLease.isUsable(now)) {
            readOrWrite(lease, serviceLease, now);
        }
    }

    private void readOrWrite(TrackedLease lease, StoreLeaseId serviceLease, Instant now) {
        StoreOperationId operation = nextOperation();
        mOperations.put(operation, lease);
        if (!lease.mCanWrite) {
            lease.mPending = new Pending(operation, now, null);
            mDecisions.add(new LeaseDecision.ReadKey(operation, lease.mKey));
            return;
        }
        boolean isRelease = serviceLease.equals(StoreLeaseId.NONE);
        LeaseValue leaseValue =
                new LeaseValue(
                        mSelf,
                        serviceLease,
                        mNextWrite++,
                        isRelease ? lease.mHandover : null,
                        mEra.era());
        if (leaseValue.isReleased()) {
            lease.mReleaseExpectedRevision = lease.mRevision;
        }
        lease.mPending = new Pending(operation, now, leaseValue);
        CompareAndSwap write =
                new CompareAndSwap(
                        lease.mKey,
                        lease.mRevision,
                        LeaseValueCodec.encode(leaseValue),
                        serviceLease,
                        mEra.era());
        mDecisions.add(new LeaseDecision.WriteKey(operation, write));
    }

    private void writeReplied(StoreOperationId operation, WriteResult result, Instant now) {
        TrackedLease lease = mOperations.remove(operation);
        Pending pending = lease == null ? null : lease.mPending;
        if (lease == null || pending == null || pending.value() == null) {
            return;
        }
        lease.mPending = null;
        if (result instanceof WriteResult.Written written) {
            written(lease, pending.value(), written.revision(), now);
        } else if (result instanceof WriteResult.Conflict conflict) {
            valueObserved(lease, conflict.current(), now);
        } else if (result instanceof WriteResult.Unavailable) {
            lease.mNextStep = now.plus(mOptions.retryDelay());
        } else {
            outcomeUnknown(lease, now);
        }
    }

    private void readReplied(StoreOperationId operation, ReadResult result, Instant now) {
        TrackedLease lease = mOperations.remove(operation);
        if (lease == null || lease.mPending == null) {
            return;
        }
        lease.mPending = null;
        if (result instanceof ReadResult.Found found) {
            valueObserved(lease, found.values().isEmpty() ? null : found.values().get(0), now);
            return;
        }
        lease.mNextStep = now.plus(mOptions.retryDelay());
    }

    private void written(
            TrackedLease lease, LeaseValue leaseValue, Revision revision, Instant now) {
        String handover = lease.mPreviousHandover;
        lease.mRevision = revision;
        lease.mPreviousHandover = null;
        lease.mNextStep = now;
        if (leaseValue.isReleased()) {
            lease.mUnsettled = false;
            lease.mCanWrite = true;
            return;
        }
        ownValueFound(lease, leaseValue, handover, now);
    }

    /** Handles the current value of a lease's key, as read or as returned by a failed write. */
    private void valueObserved(TrackedLease lease, @Nullable StoredValue value, Instant now) {
        lease.mRevision = value == null ? Revision.ABSENT : value.revision();
        Optional<LeaseValue> leaseValue =
                value == null ? Optional.empty() : LeaseValueCodec.decode(value.bytes());
        boolean free = value == null || leaseValue.map(LeaseValue::isReleased).orElse(false);
        lease.mPreviousHandover =
                leaseValue.map(known -> known.handoverIn(mEra.era())).orElse(null);
        if (free) {
            lease.mCanWrite = true;
            lease.mNextStep = now.plus(lease.mWanted ? rankDelay(lease.mRank) : Duration.ZERO);
            return;
        }
        if (leaseValue.isPresent() && leaseValue.get().writer().equals(mSelf)) {
            lease.mNextStep = now;
            ownValueFound(lease, leaseValue.get(), null, now);
            return;
        }
        lease.mUnsettled = now.isBefore(lease.mCreatePendingUntil);
        lease.mCanWrite = false;
        lease.mNextStep = now.plus(pollDelay());
    }

    private void ownValueFound(
            TrackedLease lease, LeaseValue leaseValue, @Nullable String handover, Instant now) {
        boolean current = leaseValue.serviceLease().equals(mServiceLease.lease());
        boolean mayBeReleased = lease.mRevision.equals(lease.mReleaseExpectedRevision);
        if (current && lease.mWanted && !mayBeReleased && mServiceLease.isUsable(now)) {
            lease.mHeld = true;
            lease.mUnsettled = false;
            mDecisions.add(new LeaseDecision.LeaseAcquired(lease.mName, handover));
            return;
        }
        // A key bound to an earlier service lease is written again, bound to the current one. A key
        // bound to the current service lease is only read until a renewal makes that lease usable.
        lease.mUnsettled = true;
        lease.mCanWrite = !current || !lease.mWanted || mayBeReleased;
    }

    private void outcomeUnknown(TrackedLease lease, Instant now) {
        if (lease.mRevision.equals(Revision.ABSENT)) {
            lease.mCreatePendingUntil = now.plus(mOptions.timeToLive());
        }
        lease.mUnsettled = true;
        lease.mCanWrite = false;
        lease.mNextStep = now;
    }

    private void dropOverduePending(TrackedLease lease, Instant now) {
        Pending pending = lease.mPending;
        if (pending == null || now.isBefore(pending.sentAt().plus(mOptions.operationTimeout()))) {
            return;
        }
        mOperations.remove(pending.operation());
        lease.mPending = null;
        if (pending.value() != null) {
            outcomeUnknown(lease, now);
        }
    }

    private void loseAll(LeaseLossReason reason, Instant now) {
        for (TrackedLease lease : mLeases.values()) {
            if (lease.mHeld) {
                lose(lease, reason, now);
            }
        }
    }

    private void lose(TrackedLease lease, LeaseLossReason reason, Instant now) {
        lease.mHeld = false;
        lease.mUnsettled = true;
        lease.mCanWrite = false;
        lease.mNextStep = now;
        mDecisions.add(new LeaseDecision.LeaseLost(lease.mName, reason));
    }

    private StoreOperationId nextOperation() {
        return new StoreOperationId(mNextOperation++);
    }

    private Duration rankDelay(int rank) {
        return mOptions.rankDelay().multipliedBy(rank);
    }

    private Duration pollDelay() {
        double factor = mJitter.nextDouble(MIN_POLL_FACTOR, MAX_POLL_FACTOR);
        return Duration.ofMillis((long) (mOptions.pollInterval().toMillis() * factor));
    }
}
