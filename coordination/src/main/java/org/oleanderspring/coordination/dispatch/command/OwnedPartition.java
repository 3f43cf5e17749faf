package org.oleanderspring.coordination.dispatch.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.ActiveValue;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.DecodeResult;
import org.oleanderspring.coordination.dispatch.DispatchRecord;
import org.oleanderspring.coordination.dispatch.KeyHash;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.PartitionPhase;
import org.oleanderspring.coordination.dispatch.RecordCodec;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.SealedSegment;
import org.oleanderspring.coordination.dispatch.SealedValue;
import org.oleanderspring.coordination.dispatch.query.PartitionStatus;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/**
 * A partition that this daemon should own. At most one operation is in flight.
 *
 * <p>A claim is settled as {@link ClaimResult.Claimed} only after the write of an active value that
 * contains its record is known to have taken effect, either by its reply or because the stored
 * value has its owner, term and write number. Each write is a compare-and-swap on the revision of
 * the value that it was built from, so the stored values form one chain. A daemon first appends a
 * value with a higher term to the chain, and then reads every sealed segment that this value lists;
 * from then on no other daemon can extend the chain without causing this daemon's next write to
 * fail. The index therefore contains every record of the chain; a key that is not in it has no
 * record.
 *
 * <p>After lost replies several writes built from the same value may still be in flight. At most
 * one of them takes effect. All of them are kept as attempts until a later value of the chain is
 * found; the write number of that value determines which claims have a record.
 *
 * <p>Ownership is only a hint: two daemons that both have it take the partition over in turn, with
 * a delay. If the key-value service went back to older records, the partition refuses all claims
 * until the daemon exits, because a key without a record may have been claimed earlier.
 */
final class OwnedPartition {
    /** Further waiting outcomes are dropped; their records keep the state DISPATCHED. */
    private static final int OUTCOME_LIMIT = 4_096;

    /** Bounds the list of segments to 192 KB, well below the size limit of a stored value. */
    private static final int SEGMENT_LIMIT = 8_192;

    /** Bounds the memory for writes of unknown outcome; each may hold a whole active value. */
    private static final int ATTEMPT_LIMIT = 8;

    /** Sweeps for expired records are rare, since each one scans the whole index. */
    private static final int SWEEPS_PER_RETENTION = 16;

    private enum Kind {
        READ_ACTIVE,
        WRITE_ACTIVE,
        READ_SEALED,
        WRITE_SEALED
    }

    private record Pending(
            StoreOperationId operation, Kind kind, Instant sentAt, long writeNumber) {}

    private final PartitionId mId;
    private final DispatchContext mContext;
    private final PartitionRecords mRecords;
    private final Map<ClaimId, WaitingClaim> mWaiting = new LinkedHashMap<>();
    private final Map<KeyHash, RecordState> mOutcomes = new LinkedHashMap<>();
    private final Map<Long, WriteAttempt> mAttempts = new HashMap<>();
    private final ArrayDeque<SealedSegment> mSegmentsToLoad = new ArrayDeque<>();
    private final SegmentSealer mSealer;
    private PartitionPhase mPhase = PartitionPhase.READING;
    private String mRefusal = "";
    private @Nullable Pending mPending;

    /** Why a listed segment cannot be used; set until the active value has been read again. */
    private @Nullable String mSegmentProblem;

    private boolean mActiveReadNeeded;
    private Instant mNextStep;
    private Instant mNextSweep;
    private Instant mTookOverAt = Instant.MIN;
    private Instant mOutcomesDue = Instant.MAX;

    OwnedPartition(PartitionId id, DispatchContext context, Instant now) {
        mId = id;
        mContext = context;
        mRecords = new PartitionRecords(id, context.mLimits.partitionCount(), context.mSelf);
        mSealer = new SegmentSealer(id);
        mNextStep = now;
        mNextSweep = now;
        if (context.mPartitionsWithLostRecords.contains(id)) {
            refusePermanently(now);
        }
    }

    PartitionStatus status() {
        return new PartitionStatus(
                mId,
                mPhase,
                mRecords.stored().term(),
                mRecords.size(),
                mRecords.stored().sealed().size(),
                mWaiting.size());
    }

    boolean isWaiting(ClaimId claim) {
        return mWaiting.containsKey(claim);
    }

    void addClaim(WaitingClaim claim, Instant now) {
        mContext.enqueue(claim);
        if (mPhase == PartitionPhase.REFUSING) {
            mContext.settle(claim, new ClaimResult.Unavailable(mRefusal));
            return;
        }
        if (mPhase == PartitionPhase.READY && settleIfRecorded(claim, now)) {
            return;
        }
        boolean full =
                mRecords.size() + mWaiting.size() >= mContext.mLimits.recordLimit()
                        || mRecords.stored().sealed().size() >= SEGMENT_LIMIT;
        if (full) {
            mContext.settle(
                    claim, new ClaimResult.Unavailable("partition " + mId + " has no room"));
            return;
        }
        mWaiting.put(claim.mId, claim);
    }

    /** Settles a claim whose deadline has passed; see {@link DefaultDispatchDecider}. */
    void expire(WaitingClaim claim) {
        mWaiting.remove(claim.mId);
        mContext.settle(
                claim,
                new ClaimResult.Unavailable(
                        "no record was confirmed in time; partition " + mId + " is " + mPhase));
    }

    void addOutcome(KeyHash key, RecordState state, Instant now) {
        if (mPhase == PartitionPhase.READY && !mRecords.setOutcome(key, state)) {
            return;
        }
        if (mOutcomes.size() >= OUTCOME_LIMIT) {
            return;
        }
        if (mOutcomes.isEmpty()) {
            mOutcomesDue = now.plus(mContext.mLimits.outcomeDelay());
        }
        mOutcomes.putIfAbsent(key, state);
    }

    /** Releases the partition; the calls of its waiting claims never start. */
    void release() {
        Pending pending = mPending;
        if (pending != null) {
            mContext.mOperations.remove(pending.operation());
            mPending = null;
        }
        settleAll("partition " + mId + " is owned by another daemon");
    }

    /** Checks time-outs and sends the next read, if one is due. */
    void step(Instant now) {
        dropOverduePending(now);
        removeExpired(now);
        if (mPending != null || now.isBefore(mNextStep)) {
            return;
        }
        if (mPhase == PartitionPhase.REFUSING) {
            if (mContext.mPartitionsWithLostRecords.contains(mId)) {
                return;
            }
            enterPhase(PartitionPhase.READING, "the stored values are read again");
        }
        if (mPhase == PartitionPhase.READING || mActiveReadNeeded) {
            read(Kind.READ_ACTIVE, mContext.mKeys.active(mId), now);
            return;
        }
        if (mPhase == PartitionPhase.LOADING) {
            SealedSegment next = mSegmentsToLoad.peek();
            if (next == null) {
                becomeReady(now);
                return;
            }
            read(Kind.READ_SEALED, mContext.mKeys.sealed(mId, next.slot()), now);
        }
    }

    boolean wantsWrite(Instant now) {
        if (mPending != null || mActiveReadNeeded || now.isBefore(mNextStep)) {
            return false;
        }
        if (mPhase == PartitionPhase.TAKING_OVER) {
            return true;
        }
        return mPhase == PartitionPhase.READY
                && (!mWaiting.isEmpty()
                        || mSealer.segment() != null
                        || needsSealing()
                        || !now.isBefore(mOutcomesDue)
                        || hasExpiredSegment(now));
    }

    /** Returns since when a write has been wanted; the earliest one goes first. */
    Instant waitingSince() {
        if (mPhase == PartitionPhase.TAKING_OVER) {
            return Instant.MIN;
        }
        if (mWaiting.isEmpty()) {
            return Instant.MAX;
        }
        return mWaiting.values().iterator().next().mArrival;
    }

    /** Sends the next write; only called if {@link #wantsWrite} returns true. */
    void write(Instant now) {
        if (mAttempts.size() >= ATTEMPT_LIMIT) {
            restartTakeover();
            return;
        }
        if (mPhase == PartitionPhase.TAKING_OVER) {
            ActiveValue value = mRecords.takeoverValue(mContext.mSelf, mContext.nextWrite());
            writeActive(new WriteAttempt(value, List.of(), Map.of()), now);
            return;
        }
        if (mSealer.segment() == null && needsSealing()) {
            mSealer.startSegment(mRecords, mContext.nextWrite());
        }
        SealingSegment sealing = mSealer.segment();
        if (sealing != null && !sealing.isWritten()) {
            writeSealed(sealing, now);
            return;
        }
        WriteAttempt attempt =
                mRecords.nextWrite(
                        mContext.nextWrite(),
                        mWaiting.values(),
                        mOutcomes,
                        sealing,
                        mContext.settings().retention(),
                        now);
        writeActive(attempt, now);
    }

    /**
     * Restarts the takeover, because too many writes may still take effect. A write that does so is
     * then found like any other value of the chain, and its claims are found as recorded.
     */
    private void restartTakeover() {
        clearState();
        enterPhase(PartitionPhase.READING, "too many writes without a reply");
    }

    void readReplied(StoreOperationId operation, ReadResult result, Instant now) {
        Pending pending = takePending(operation);
        if (pending == null) {
            return;
        }
        if (!(result instanceof ReadResult.Found found)) {
            mNextStep = now.plus(mContext.mLimits.retryDelay());
            return;
        }
        StoredValue value = found.values().isEmpty() ? null : found.values().get(0);
        if (pending.kind() == Kind.READ_ACTIVE) {
            observeActive(value, now);
        } else {
            observeSealed(value);
        }
    }

    void writeReplied(StoreOperationId operation, WriteResult result, Instant now) {
        Pending pending = takePending(operation);
        if (pending == null) {
            return;
        }
        if (pending.kind() == Kind.WRITE_SEALED) {
            sealedWriteReplied(result, now);
        } else {
            activeWriteReplied(pending.writeNumber(), result, now);
        }
    }

    private void activeWriteReplied(long writeNumber, WriteResult result, Instant now) {
        if (result instanceof WriteResult.Written written) {
            writeTookEffect(writeNumber, written.revision(), now);
        } else if (result instanceof WriteResult.Conflict conflict) {
            observeActive(conflict.current(), now);
        } else if (result instanceof WriteResult.Unavailable) {
            mAttempts.remove(writeNumber);
            mNextStep = now.plus(mContext.mLimits.retryDelay());
        } else {
            mActiveReadNeeded = true;
        }
    }

    /** Compares the stored active value with the last value of the chain that this daemon knows. */
    private void observeActive(@Nullable StoredValue value, Instant now) {
        mActiveReadNeeded = false;
        ActiveValue found = null;
        if (value != null) {
            DecodeResult<ActiveValue> decoded = RecordCodec.decodeActive(value.bytes());
            if (decoded instanceof DecodeResult.Invalid<ActiveValue> invalid) {
                refuse("the active value is broken: " + invalid.reason(), now);
                return;
            }
            found = ((DecodeResult.Decoded<ActiveValue>) decoded).value();
            if (!isOfThisPartition(found)) {
                refuse("the active value is of another partition or partition count", now);
                return;
            }
        }
        Revision revision = value == null ? Revision.ABSENT : value.revision();
        if (found != null && isOwnAttempt(found)) {
            writeTookEffect(found.writeNumber(), revision, now);
        } else if (mPhase == PartitionPhase.READING) {
            mAttempts.clear();
            mRecords.setStored(found, revision, mContext.mSelf);
            enterPhase(
                    PartitionPhase.TAKING_OVER, "term " + mRecords.stored().term() + " was read");
        } else if (!revision.equals(mRecords.revision())) {
            chainAdvanced(found, revision, now);
        } else if (mSegmentProblem != null) {
            refuse(mSegmentProblem, now);
        }
    }

    private void chainAdvanced(@Nullable ActiveValue found, Revision revision, Instant now) {
        long knownTerm = mRecords.stored().term().value();
        if (found == null || found.term().value() < knownTerm) {
            refusePermanently(now);
            return;
        }
        boolean sameTerm = found.term().value() == knownTerm;
        boolean ownWrite = found.owner().equals(mContext.mSelf);
        if (mPhase == PartitionPhase.TAKING_OVER && (sameTerm || ownWrite)) {
            // The former owner extended the chain, or a write of an earlier ownership of this
            // daemon arrived; the takeover continues from the value found.
            mAttempts.clear();
            mRecords.setStored(found, revision, mContext.mSelf);
            return;
        }
        if (sameTerm) {
            refusePermanently(now);
            return;
        }
        takenOverBy(found, now);
    }

    /**
     * Starts to take the partition back. The claims keep waiting: the pending writes can no longer
     * take effect, and records of those that did are read with the others.
     */
    private void takenOverBy(ActiveValue found, Instant now) {
        clearState();
        Instant earliest = mTookOverAt.plus(mContext.mLimits.takeoverDelay());
        mNextStep = now.isBefore(earliest) ? earliest : now;
        enterPhase(PartitionPhase.READING, "taken over by " + found.owner());
    }

    /** Handles that a write of this daemon is known to have taken effect. */
    private void writeTookEffect(long writeNumber, Revision revision, Instant now) {
        WriteAttempt attempt = mAttempts.get(writeNumber);
        mAttempts.clear();
        if (attempt == null) {
            return;
        }
        mRecords.setStored(attempt.value(), revision, mContext.mSelf);
        if (mPhase == PartitionPhase.TAKING_OVER) {
            startLoading(now);
            return;
        }
        mSealer.segmentsListed(attempt.value().sealed());
        List<DispatchRecord> records = attempt.value().records();
        mRecords.index(records.subList(records.size() - attempt.claims().size(), records.size()));
        settleWritten(attempt, now);
    }

    private void settleWritten(WriteAttempt attempt, Instant now) {
        mOutcomes.entrySet().removeAll(attempt.outcomes().entrySet());
        mOutcomesDue =
                mOutcomes.isEmpty() ? Instant.MAX : now.plus(mContext.mLimits.outcomeDelay());
        for (WaitingClaim claim : attempt.claims()) {
            if (claim.mSettled) {
                // The claim was settled as Unavailable, so its call never starts.
                addOutcome(claim.mKey, RecordState.NOT_RUN, now);
                continue;
            }
            mWaiting.remove(claim.mId);
            mContext.settle(claim, new ClaimResult.Claimed());
        }
        settleRecordedClaims(now);
    }

    private void startLoading(Instant now) {
        mTookOverAt = now;
        mRecords.clearIndex();
        mSegmentsToLoad.clear();
        for (SealedSegment segment : mRecords.stored().sealed()) {
            if (!segment.isExpired(mContext.settings().retention(), now)) {
                mSegmentsToLoad.add(segment);
            }
        }
        enterPhase(PartitionPhase.LOADING, mSegmentsToLoad.size() + " sealed segments are read");
        step(now);
    }

    private void observeSealed(@Nullable StoredValue value) {
        SealedSegment segment = mSegmentsToLoad.element();
        String name = "sealed segment " + segment.slot();
        if (value == null) {
            segmentUnusable(name + " is missing");
            return;
        }
        DecodeResult<SealedValue> decoded = RecordCodec.decodeSealed(value.bytes());
        if (decoded instanceof DecodeResult.Invalid<SealedValue> invalid) {
            segmentUnusable(name + " is broken: " + invalid.reason());
            return;
        }
        SealedValue sealed = ((DecodeResult.Decoded<SealedValue>) decoded).value();
        if (!sealed.isContentOf(segment) || !sealed.partition().equals(mId)) {
            segmentUnusable(name + " has other content than listed");
            return;
        }
        mRecords.index(sealed.records());
        mSealer.slotRead(segment.slot(), value.revision());
        mSegmentsToLoad.remove();
    }

    /** A later owner may have reused the slot, so the active value is read before refusing. */
    private void segmentUnusable(String reason) {
        mSegmentProblem = reason;
        mActiveReadNeeded = true;
    }

    private void becomeReady(Instant now) {
        mRecords.index(mRecords.stored().records());
        enterPhase(
                PartitionPhase.READY,
                "term " + mRecords.stored().term() + ", " + mRecords.size() + " records");
        mOutcomes.entrySet().removeIf(entry -> !applyOutcome(entry));
        settleRecordedClaims(now);
    }

    private boolean applyOutcome(Map.Entry<KeyHash, RecordState> entry) {
        return mRecords.setOutcome(entry.getKey(), entry.getValue());
    }

    private void settleRecordedClaims(Instant now) {
        for (WaitingClaim claim : new ArrayList<>(mWaiting.values())) {
            if (settleIfRecorded(claim, now)) {
                mWaiting.remove(claim.mId);
            }
        }
    }

    private boolean settleIfRecorded(WaitingClaim claim, Instant now) {
        Optional<RecordState> state =
                mRecords.find(claim.mKey, mContext.settings().retention(), now);
        if (state.isEmpty()) {
            return false;
        }
        mContext.settle(claim, new ClaimResult.AlreadyClaimed(state.get()));
        return true;
    }

    private boolean needsSealing() {
        return mRecords.needsSealing(mContext.mLimits.sealBytes());
    }

    private boolean hasExpiredSegment(Instant now) {
        List<SealedSegment> sealed = mRecords.stored().sealed();
        return !sealed.isEmpty() && sealed.get(0).isExpired(mContext.settings().retention(), now);
    }

    private void writeSealed(SealingSegment moved, Instant now) {
        int slot = moved.entry().slot();
        Revision expected = mSealer.slotRevision();
        StoreKey key = mContext.mKeys.sealed(mId, slot);
        write(Kind.WRITE_SEALED, moved.entry().writeNumber(), key, expected, moved.bytes(), now);
    }

    private void sealedWriteReplied(WriteResult result, Instant now) {
        SegmentSealer.Progress progress = mSealer.segmentWriteReplied(result);
        if (progress == SegmentSealer.Progress.RETRY_LATER) {
            mNextStep = now.plus(mContext.mLimits.retryDelay());
        } else if (progress == SegmentSealer.Progress.LATER_OWNER) {
            mActiveReadNeeded = true;
        }
    }

    private void writeActive(WriteAttempt attempt, Instant now) {
        long number = attempt.value().writeNumber();
        mAttempts.put(number, attempt);
        byte[] bytes = RecordCodec.encode(attempt.value());
        StoreKey key = mContext.mKeys.active(mId);
        write(Kind.WRITE_ACTIVE, number, key, mRecords.revision(), bytes, now);
    }

    private void write(
            Kind kind, long number, StoreKey key, Revision expected, byte[] bytes, Instant now) {
        StoreOperationId operation = mContext.nextOperation(this);
        mPending = new Pending(operation, kind, now, number);
        CompareAndSwap command = new CompareAndSwap(key, expected, bytes, StoreLeaseId.NONE);
        mContext.add(new DispatchDecision.WriteValue(operation, command));
    }

    private void read(Kind kind, StoreKey key, Instant now) {
        StoreOperationId operation = mContext.nextOperation(this);
        mPending = new Pending(operation, kind, now, 0);
        mContext.add(new DispatchDecision.ReadValue(operation, key));
    }

    private @Nullable Pending takePending(StoreOperationId operation) {
        Pending pending = mPending;
        if (pending == null || !pending.operation().equals(operation)) {
            return null;
        }
        mPending = null;
        return pending;
    }

    private void dropOverduePending(Instant now) {
        Pending pending = mPending;
        if (pending == null
                || now.isBefore(pending.sentAt().plus(mContext.mLimits.operationTimeout()))) {
            return;
        }
        mContext.mOperations.remove(pending.operation());
        mPending = null;
        if (pending.kind() == Kind.WRITE_ACTIVE) {
            mActiveReadNeeded = true;
        }
    }

    private void removeExpired(Instant now) {
        if (now.isBefore(mNextSweep)) {
            return;
        }
        Duration retention = mContext.settings().retention();
        mRecords.removeExpired(retention, now);
        mNextSweep = now.plus(retention.dividedBy(SWEEPS_PER_RETENTION));
    }

    private boolean isOfThisPartition(ActiveValue found) {
        return found.partition().equals(mId)
                && found.partitionCount() == mContext.mLimits.partitionCount();
    }

    private boolean isOwnAttempt(ActiveValue found) {
        return found.owner().equals(mContext.mSelf) && mAttempts.containsKey(found.writeNumber());
    }

    private void refuse(String reason, Instant now) {
        settleAll(reason);
        clearState();
        mRefusal = "partition " + mId + " refuses claims: " + reason;
        mNextStep = now.plus(mContext.mLimits.takeoverDelay());
        enterPhase(PartitionPhase.REFUSING, reason);
    }

    private void refusePermanently(Instant now) {
        mContext.mPartitionsWithLostRecords.add(mId);
        refuse("the key-value service went back to older records", now);
    }

    private void clearState() {
        mAttempts.clear();
        mRecords.clearIndex();
        mSealer.clear();
        mSegmentsToLoad.clear();
        mSegmentProblem = null;
        mActiveReadNeeded = false;
    }

    private void settleAll(String reason) {
        for (WaitingClaim claim : mWaiting.values()) {
            mContext.settle(claim, new ClaimResult.Unavailable(reason));
        }
        mWaiting.clear();
    }

    private void enterPhase(PartitionPhase phase, String reason) {
        mPhase = phase;
        mContext.add(new DispatchDecision.PhaseChanged(mId, phase, reason));
    }
}
