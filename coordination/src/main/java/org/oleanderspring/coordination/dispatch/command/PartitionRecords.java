package org.oleanderspring.coordination.dispatch.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.ActiveValue;
import org.oleanderspring.coordination.dispatch.DispatchRecord;
import org.oleanderspring.coordination.dispatch.KeyHash;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.RecordCodec;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.SealedSegment;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;

/**
 * The records of one partition: the last known stored active value, and an index of all records by
 * key. Builds the next active value.
 */
final class PartitionRecords {
    /**
     * Together with the seal size, bounds the size of the active value; 8,192 records take 172 KB.
     */
    private static final int NEW_RECORDS_PER_WRITE = 8_192;

    private final PartitionId mPartition;
    private final int mPartitionCount;
    private final RecordIndex mIndex = new RecordIndex();
    private ActiveValue mStored;
    private Revision mRevision = Revision.ABSENT;

    PartitionRecords(PartitionId partition, int partitionCount, MemberId self) {
        mPartition = partition;
        mPartitionCount = partitionCount;
        mStored = emptyValue(self);
    }

    private ActiveValue emptyValue(MemberId self) {
        return new ActiveValue(
                mPartition, mPartitionCount, FencingToken.NONE, self, 0, List.of(), List.of());
    }

    ActiveValue stored() {
        return mStored;
    }

    Revision revision() {
        return mRevision;
    }

    int size() {
        return mIndex.size();
    }

    /**
     * Replaces the last known stored value by the value found in the key-value service; null if the
     * key does not exist.
     */
    void setStored(@Nullable ActiveValue found, Revision revision, MemberId self) {
        mStored = found == null ? emptyValue(self) : found;
        mRevision = revision;
    }

    void clearIndex() {
        mIndex.clear();
    }

    /** Adds records to the index; a record replaces an earlier record of the same key. */
    void index(List<DispatchRecord> records) {
        for (DispatchRecord record : records) {
            mIndex.put(record);
        }
    }

    /** Returns the state of the record of a key, or empty if there is none that is not expired. */
    Optional<RecordState> find(KeyHash key, Duration retention, Instant now) {
        DispatchRecord record = mIndex.get(key);
        if (record == null || record.isExpired(retention, now)) {
            return Optional.empty();
        }
        return Optional.of(record.state());
    }

    /** Sets the outcome of a record that has none; returns whether it did. */
    boolean setOutcome(KeyHash key, RecordState outcome) {
        DispatchRecord record = mIndex.get(key);
        if (record == null || record.state() != RecordState.DISPATCHED) {
            return false;
        }
        mIndex.put(record.withState(outcome));
        return true;
    }

    void removeExpired(Duration retention, Instant now) {
        mIndex.removeExpired(retention, now);
    }

    /** Returns whether the records of the stored active value take more than the given bytes. */
    boolean needsSealing(int sealBytes) {
        return mStored.records().size() * RecordCodec.RECORD_BYTES > sealBytes;
    }

    /** Returns the smallest slot that is neither listed by the stored active value nor excluded. */
    int freeSlot(Set<Integer> excluded) {
        Set<Integer> used = new HashSet<>(excluded);
        for (SealedSegment segment : mStored.sealed()) {
            used.add(segment.slot());
        }
        int slot = 0;
        while (used.contains(slot)) {
            slot++;
        }
        return slot;
    }

    /**
     * Returns an active value that increases the owner term and sets the owner, with unchanged
     * records.
     */
    ActiveValue takeoverValue(MemberId self, long writeNumber) {
        return new ActiveValue(
                mPartition,
                mPartitionCount,
                mStored.term().next(),
                self,
                writeNumber,
                mStored.sealed(),
                mStored.records());
    }

    /**
     * Builds the next active value of this owner. The records of new claims come last.
     *
     * @param writeNumber the number of the write
     * @param waiting the claims that wait
     * @param outcomes the outcomes that are not stored yet, by key
     * @param sealing the segment that was written and has to be listed, or null
     * @param retention how long records are kept
     * @param now the current time
     */
    WriteAttempt nextWrite(
            long writeNumber,
            Iterable<WaitingClaim> waiting,
            Map<KeyHash, RecordState> outcomes,
            @Nullable SealingSegment sealing,
            Duration retention,
            Instant now) {
        List<DispatchRecord> records = keptRecords(outcomes, sealing, retention, now);
        List<WaitingClaim> claims = new ArrayList<>();
        Set<KeyHash> claimed = new HashSet<>();
        for (WaitingClaim claim : waiting) {
            if (claims.size() == NEW_RECORDS_PER_WRITE) {
                break;
            }
            if (claimed.add(claim.mKey)) {
                claims.add(claim);
                records.add(DispatchRecord.dispatched(claim.mKey, now));
            }
        }
        ActiveValue value =
                new ActiveValue(
                        mPartition,
                        mPartitionCount,
                        mStored.term(),
                        mStored.owner(),
                        writeNumber,
                        keptSegments(sealing, retention, now),
                        records);
        return new WriteAttempt(value, claims, Map.copyOf(outcomes));
    }

    private List<SealedSegment> keptSegments(
            @Nullable SealingSegment sealing, Duration retention, Instant now) {
        List<SealedSegment> segments = new ArrayList<>();
        for (SealedSegment segment : mStored.sealed()) {
            if (!segment.isExpired(retention, now)) {
                segments.add(segment);
            }
        }
        if (sealing != null) {
            segments.add(sealing.entry());
        }
        return segments;
    }

    private List<DispatchRecord> keptRecords(
            Map<KeyHash, RecordState> outcomes,
            @Nullable SealingSegment sealing,
            Duration retention,
            Instant now) {
        Set<DispatchRecord> sealed = sealing == null ? Set.of() : sealing.records();
        Map<KeyHash, RecordState> unmatched = new HashMap<>(outcomes);
        List<DispatchRecord> kept = new ArrayList<>();
        for (DispatchRecord record : mStored.records()) {
            if (sealed.contains(record) || record.isExpired(retention, now)) {
                continue;
            }
            RecordState outcome = unmatched.remove(record.key());
            kept.add(outcome == null ? record : record.withState(outcome));
        }
        // A record in a sealed segment cannot be changed; its outcome is stored as a second record.
        for (Map.Entry<KeyHash, RecordState> outcome : unmatched.entrySet()) {
            DispatchRecord record = mIndex.get(outcome.getKey());
            if (record != null && !record.isExpired(retention, now)) {
                kept.add(record.withState(outcome.getValue()));
            }
        }
        return kept;
    }
}
