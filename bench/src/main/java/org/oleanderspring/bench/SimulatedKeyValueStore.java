package org.oleanderspring.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/**
 * A key-value service with a virtual clock; it never fails. An operation takes effect after half of
 * the fixed latency, and its reply arrives after the other half.
 */
final class SimulatedKeyValueStore {
    private record Task(Instant due, long sequence, Runnable action) {}

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(Comparator.comparing(Task::due).thenComparingLong(Task::sequence));
    private final Map<StoreKey, StoredValue> mValues = new HashMap<>();
    private final Duration mOneWayDelay;
    private Instant mNow = Instant.EPOCH;
    private long mNextSequence;
    private long mRevision;
    private long mWrites;
    private long mBytesWritten;

    SimulatedKeyValueStore(Duration latency) {
        mOneWayDelay = latency.dividedBy(2);
    }

    Instant now() {
        return mNow;
    }

    /** Returns the number of successful writes. */
    long writes() {
        return mWrites;
    }

    /** Returns the total size of the values of successful writes. */
    long bytesWritten() {
        return mBytesWritten;
    }

    long keys() {
        return mValues.size();
    }

    /**
     * Runs an action after a delay of virtual time; those due at the same time keep their order.
     */
    void schedule(Duration delay, Runnable action) {
        mTasks.add(new Task(mNow.plus(delay), mNextSequence++, action));
    }

    /** Runs all actions that are due by a time, and sets the clock to that time. */
    void runUntil(Instant end) {
        while (!mTasks.isEmpty() && !mTasks.element().due().isAfter(end)) {
            Task task = mTasks.remove();
            mNow = task.due();
            task.action().run();
        }
        mNow = end;
    }

    void write(CompareAndSwap command, Consumer<WriteResult> reply) {
        schedule(
                mOneWayDelay,
                () -> {
                    WriteResult result = apply(command);
                    schedule(mOneWayDelay, () -> reply.accept(result));
                });
    }

    void read(StoreKey key, Consumer<ReadResult> reply) {
        schedule(
                mOneWayDelay,
                () -> {
                    @Nullable StoredValue value = mValues.get(key);
                    ReadResult result =
                            new ReadResult.Found(value == null ? List.of() : List.of(value));
                    schedule(mOneWayDelay, () -> reply.accept(result));
                });
    }

    private WriteResult apply(CompareAndSwap command) {
        StoredValue current = mValues.get(command.key());
        Revision revision = current == null ? Revision.ABSENT : current.revision();
        if (!revision.equals(command.expected())) {
            return new WriteResult.Conflict(current);
        }
        mWrites++;
        mBytesWritten += command.bytes().length;
        Revision next = new Revision(++mRevision);
        mValues.put(command.key(), new StoredValue(command.key(), command.bytes(), next));
        return new WriteResult.Written(next);
    }
}
