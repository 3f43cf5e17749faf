package org.oleanderspring.coordination.fake;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that moves only when told, and the tasks that are due. */
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

    /** Runs an action now and then at a fixed rate for ever. */
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
