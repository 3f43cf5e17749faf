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
 * Moves records of one partition to a slot of their own, one segment at a time.
 *
 * <p>The slot is written first and listed by the next write of the active value. A crash between
 * the two leaves a slot that no active value lists; its records are still in the active value.
 */
final class SegmentSealer {
    /** What has to follow a reply. */
    enum Progress {
        /** The next write may be sent. */
        CONTINUE,
        /** The same write is repeated after a delay. */
        RETRY_LATER,
        /** The slot was written by a later owner; the active value has to be read. */
        LATER_OWNER
    }

    private final PartitionId mPartition;
    private final Map<Integer, Revision> mSlotRevisions = new HashMap<>();
    private final Set<Integer> mUnusableSlots = new HashSet<>();
    private @Nullable SealingSegment mSegment;

    SegmentSealer(PartitionId partition) {
        mPartition = partition;
    }

    /** Returns the segment that is written or waits to be listed, or null. */
    @Nullable SealingSegment segment() {
        return mSegment;
    }

    void start(PartitionRecords records, long number) {
        ActiveValue stored = records.stored();
        mSegment =
                SealingSegment.of(
                        mPartition,
                        records.freeSlot(mUnusableSlots),
                        stored.term().value(),
                        number,
                        stored.records());
    }

    /** Returns the revision that the slot of the segment is expected to have. */
    Revision slotRevision() {
        SealingSegment segment = mSegment;
        if (segment == null) {
            return Revision.ABSENT;
        }
        return mSlotRevisions.getOrDefault(segment.segment().slot(), Revision.ABSENT);
    }

    void slotRead(int slot, Revision revision) {
        mSlotRevisions.put(slot, revision);
    }

    /** The active value now lists these segments. */
    void listed(List<SealedSegment> sealed) {
        if (mSegment != null && sealed.contains(mSegment.segment())) {
            mSegment = null;
        }
    }

    void clear() {
        mSlotRevisions.clear();
        mUnusableSlots.clear();
        mSegment = null;
    }

    Progress replied(WriteResult result) {
        SealingSegment segment = mSegment;
        if (segment == null) {
            return Progress.CONTINUE;
        }
        if (result instanceof WriteResult.Written written) {
            mSlotRevisions.put(segment.segment().slot(), written.revision());
            mSegment = segment.written();
            return Progress.CONTINUE;
        }
        if (result instanceof WriteResult.Conflict conflict) {
            return slotOccupied(segment, conflict.current());
        }
        // Without a reply the same write is repeated; if the first one took effect, the slot is
        // found to hold the segment.
        return Progress.RETRY_LATER;
    }

    /**
     * Looks at the content of a slot that the active value does not list. It is the segment itself,
     * a forgotten segment, a segment that a former owner wrote but never listed, or one of a later
     * owner. All but the last may be replaced: the replacement fails if a later owner writes first.
     */
    private Progress slotOccupied(SealingSegment segment, @Nullable StoredValue current) {
        int slot = segment.segment().slot();
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
        if (found.value().isContentOf(segment.segment())) {
            mSegment = segment.written();
            return Progress.CONTINUE;
        }
        if (found.value().term() > segment.segment().term()) {
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
