package org.oleanderspring.bench.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A virtual clock that runs scheduled tasks by time; tasks due at the same time run in the order in
 * which they were scheduled.
 */
final class VirtualScheduler {
    private record Task(Instant due, long sequence, Runnable action) {}

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(Comparator.comparing(Task::due).thenComparingLong(Task::sequence));
    private Instant mNow = Instant.EPOCH;
    private long mNextSequence;

    Instant now() {
        return mNow;
    }

    void schedule(Duration delay, Runnable action) {
        mTasks.add(new Task(mNow.plus(delay), mNextSequence++, action));
    }

    /**
     * Runs all tasks due by a time, including those scheduled meanwhile, and sets the clock to it.
     */
    void runUntil(Instant end) {
        Task next = mTasks.peek();
        while (next != null && !next.due().isAfter(end)) {
            mTasks.remove();
            mNow = next.due();
            next.action().run();
            next = mTasks.peek();
        }
        mNow = end;
    }
}
