package org.oleanderspring.coordination.dispatch.command;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.ActiveValue;
import org.oleanderspring.coordination.dispatch.DecodeResult;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.RecordCodec;
import org.oleanderspring.coordination.dispatch.SealedSegment;
import org.oleanderspring.coordination.dispatch.SealedValue;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.WriteResult;

/**
 * Moves records of one partition from the active value to sealed segments, one segment at a time.
 *
 * <p>A segment is first written to a slot, a numbered key that is reused after its segment has
 * expired, and then listed by the next write of the active value. A crash between the two writes
 * leaves a slot that no active value lists; its records are still in the active value.
 */
final class SegmentSealer {
    /** What to do after the reply to the write of a segment. */
    enum Progress {
        /** The next write may be sent; {@link #segment} determines which one. */
        CONTINUE,
        /** The same write has to be repeated after a delay. */
        RETRY_LATER,
        /** The slot was written by a later owner; the active value has to be read again. */
        LATER_OWNER
    }

    private final PartitionId mPartition;
    private final Map<Integer, Revision> mSlotRevisions = new HashMap<>();

    /** Slots with a value that cannot be decoded or that a later owner wrote; not written again. */
    private final Set<Integer> mUnusableSlots = new HashSet<>();

    private @Nullable SealingSegment mSegment;

    SegmentSealer(PartitionId partition) {
        mPartition = partition;
    }

    /** Returns the segment that is being written or not listed yet, or null. */
    @Nullable SealingSegment segment() {
        return mSegment;
    }

    /** Starts to move all records of the stored active value to a segment in a free slot. */
    void startSegment(PartitionRecords records, long writeNumber) {
        ActiveValue stored = records.stored();
        mSegment =
                SealingSegment.of(
                        mPartition,
                        records.freeSlot(mUnusableSlots),
                        stored.term().value(),
                        writeNumber,
                        stored.records());
    }

    /** Returns the revision to expect when writing the slot of the segment. */
    Revision slotRevision() {
        SealingSegment segment = mSegment;
        if (segment == null) {
            return Revision.ABSENT;
        }
        return mSlotRevisions.getOrDefault(segment.entry().slot(), Revision.ABSENT);
    }

    /** Records the revision of a slot that was read, which its next write has to expect. */
    void slotRead(int slot, Revision revision) {
        mSlotRevisions.put(slot, revision);
    }

    /**
     * Called after a write of the active value took effect. If the value lists the current segment,
     * the move of that segment is complete.
     */
    void segmentsListed(List<SealedSegment> sealed) {
        if (mSegment != null && sealed.contains(mSegment.entry())) {
            mSegment = null;
        }
    }

    /**
     * Forgets all slots and the current segment; called when the stored values have to be read
     * again or claims are refused.
     */
    void clear() {
        mSlotRevisions.clear();
        mUnusableSlots.clear();
        mSegment = null;
    }

    Progress segmentWriteReplied(WriteResult result) {
        SealingSegment segment = mSegment;
        if (segment == null) {
            return Progress.CONTINUE;
        }
        if (result instanceof WriteResult.Written written) {
            mSlotRevisions.put(segment.entry().slot(), written.revision());
            mSegment = segment.written();
            return Progress.CONTINUE;
        }
        if (result instanceof WriteResult.Conflict conflict) {
            return slotOccupied(segment, conflict.current());
        }
        // The same write is repeated. If the first one took effect, the repetition gets a Conflict
        // with the segment itself as the current value.
        return Progress.RETRY_LATER;
    }

    /**
     * Handles a slot with unexpected content. Since the active value does not list the slot, it is
     * absent, or it contains the segment itself, an expired segment, a segment that a former owner
     * wrote but never listed, a segment of a later owner, or a value that cannot be decoded. The
     * last two are left unchanged, and the slot is not used again. The other values may be
     * replaced: the replacement fails if a later owner writes first.
     */
    private Progress slotOccupied(SealingSegment segment, @Nullable StoredValue current) {
        int slot = segment.entry().slot();
        if (current == null) {
            mSlotRevisions.remove(slot);
            return Progress.CONTINUE;
        }
        DecodeResult<SealedValue> decoded = RecordCodec.decodeSealed(current.bytes());
        if (!(decoded instanceof DecodeResult.Decoded<SealedValue> found)) {
            abandonSlot(slot);
            return Progress.CONTINUE;
        }
        mSlotRevisions.put(slot, current.revision());
        if (found.value().isContentOf(segment.entry())) {
            mSegment = segment.written();
            return Progress.CONTINUE;
        }
        if (found.value().term() > segment.entry().term()) {
            abandonSlot(slot);
            return Progress.LATER_OWNER;
        }
        return Progress.CONTINUE;
    }

    private void abandonSlot(int slot) {
        mUnusableSlots.add(slot);
        mSegment = null;
    }
}
