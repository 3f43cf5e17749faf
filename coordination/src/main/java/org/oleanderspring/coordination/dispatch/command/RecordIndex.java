package org.oleanderspring.coordination.dispatch.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.DispatchLimits;
import org.oleanderspring.coordination.dispatch.DispatchRecord;
import org.oleanderspring.coordination.dispatch.KeyHash;
import org.oleanderspring.coordination.dispatch.RecordState;

/**
 * An index of the records of a partition by key: a hash table with linear probing. Not thread-safe;
 * used by the thread that owns the {@link DispatchDecider}.
 *
 * <p>A record takes 24 bytes in one array, compared with more than 100 bytes as a map entry with
 * objects; a partition holds up to {@link DispatchLimits#recordLimit} records, by default about
 * half a million, in the memory that a daemon has for control data. The slot is derived from the
 * second half of the key's hash, since the first half selects the partition.
 */
final class RecordIndex {
    private static final int LONGS_PER_SLOT = 3;

    /** Offsets within a slot, which starts with the first half of the key hash. */
    private static final int LOW_OFFSET = 1;

    private static final int CONTENT_OFFSET = 2;

    /** In slots. Capacities are powers of two, so that a mask selects the slot of a key. */
    private static final int SMALLEST_CAPACITY = 16;

    private static final int STATE_BITS = 2;
    private static final long STATE_MASK = (1 << STATE_BITS) - 1;

    /** The index in this list, plus one, is the encoded state in the content field. */
    private static final List<RecordState> STATES =
            List.of(RecordState.DISPATCHED, RecordState.RAN, RecordState.NOT_RUN);

    /**
     * The slots, each with the two halves of the key hash and a content field. The lowest {@link
     * #STATE_BITS} bits of the content are the encoded state, the others the time of the record in
     * seconds since the epoch; a slot whose content is 0 is free.
     */
    private long[] mSlots = new long[SMALLEST_CAPACITY * LONGS_PER_SLOT];

    private int mSize;

    int size() {
        return mSize;
    }

    void clear() {
        mSlots = new long[SMALLEST_CAPACITY * LONGS_PER_SLOT];
        mSize = 0;
    }

    @Nullable DispatchRecord get(KeyHash key) {
        int position = position(mSlots, key.high(), key.low());
        return mSlots[position + CONTENT_OFFSET] == 0 ? null : recordAt(mSlots, position);
    }

    /** Adds a record; it replaces an earlier record of the same key. */
    void put(DispatchRecord record) {
        int capacity = mSlots.length / LONGS_PER_SLOT;
        if (mSize >= capacity - capacity / 4) {
            mSlots = copy(capacity * 2, Duration.ZERO, null);
        }
        if (insert(mSlots, record)) {
            mSize++;
        }
    }

    /** Removes the records whose retention has passed, by copying the others to a new table. */
    void removeExpired(Duration retention, Instant now) {
        int kept = 0;
        for (int position = 0; position < mSlots.length; position += LONGS_PER_SLOT) {
            boolean used = mSlots[position + CONTENT_OFFSET] != 0;
            if (used && !recordAt(mSlots, position).isExpired(retention, now)) {
                kept++;
            }
        }
        if (kept == mSize) {
            return;
        }
        int capacity = SMALLEST_CAPACITY;
        while (kept >= capacity / 2) {
            capacity *= 2;
        }
        mSlots = copy(capacity, retention, now);
        mSize = kept;
    }

    /**
     * Copies all records, or only those that are not expired if a time is given, to a new table.
     */
    private long[] copy(int capacity, Duration retention, @Nullable Instant now) {
        long[] slots = new long[capacity * LONGS_PER_SLOT];
        for (int position = 0; position < mSlots.length; position += LONGS_PER_SLOT) {
            if (mSlots[position + CONTENT_OFFSET] == 0) {
                continue;
            }
            DispatchRecord record = recordAt(mSlots, position);
            if (now == null || !record.isExpired(retention, now)) {
                insert(slots, record);
            }
        }
        return slots;
    }

    private static boolean insert(long[] slots, DispatchRecord record) {
        int position = position(slots, record.key().high(), record.key().low());
        boolean isNew = slots[position + CONTENT_OFFSET] == 0;
        slots[position] = record.key().high();
        slots[position + LOW_OFFSET] = record.key().low();
        slots[position + CONTENT_OFFSET] =
                (record.recordedAtSeconds() << STATE_BITS) | (STATES.indexOf(record.state()) + 1);
        return isNew;
    }

    /** Returns the position of the key, or of the free slot where it would be inserted. */
    private static int position(long[] slots, long high, long low) {
        int capacity = slots.length / LONGS_PER_SLOT;
        int slot = Long.hashCode(low) & (capacity - 1);
        while (true) {
            int position = slot * LONGS_PER_SLOT;
            boolean free = slots[position + CONTENT_OFFSET] == 0;
            if (free || (slots[position] == high && slots[position + LOW_OFFSET] == low)) {
                return position;
            }
            slot = (slot + 1) & (capacity - 1);
        }
    }

    private static DispatchRecord recordAt(long[] slots, int position) {
        long content = slots[position + CONTENT_OFFSET];
        RecordState state = STATES.get((int) (content & STATE_MASK) - 1);
        KeyHash key = new KeyHash(slots[position], slots[position + LOW_OFFSET]);
        return new DispatchRecord(key, state, content >>> STATE_BITS);
    }
}
