package org.oleanderspring.coordination.fake;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A virtual clock with a task scheduler; time passes only in {@link #advance}. */
public final class VirtualTime {
    private record Task(Instant due, long sequence, Runnable action) {}

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(Comparator.comparing(Task::due).thenComparingLong(Task::sequence));
    private Instant mNow = Instant.parse("2026-12-04T00:00:00Z");
    private long mNextSequence;

    public Instant now() {
        return mNow;
    }

    public void after(Duration delay, Runnable action) {
        mTasks.add(new Task(mNow.plus(delay), mNextSequence++, action));
    }

    /** Runs an action repeatedly at a fixed rate, first after one period. */
    public void every(Duration period, Runnable action) {
        after(
                period,
                () -> {
                    action.run();
                    every(period, action);
                });
    }

    public void advance(Duration duration) {
        Instant end = mNow.plus(duration);
        while (!mTasks.isEmpty() && !mTasks.element().due().isAfter(end)) {
            Task task = mTasks.remove();
            mNow = task.due();
            task.action().run();
        }
        mNow = end;
    }
}
