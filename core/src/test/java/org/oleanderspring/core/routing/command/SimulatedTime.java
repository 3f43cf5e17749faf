package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A virtual clock with a schedule; time passes only in {@link #advance}. */
final class SimulatedTime {
    private record Task(Instant due, long number, Runnable action) {}

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(Comparator.comparing(Task::due).thenComparingLong(Task::number));
    private Instant mNow = Instant.EPOCH.plusSeconds(100);
    private long mNextNumber;

    Instant now() {
        return mNow;
    }

    void after(Duration delay, Runnable action) {
        mTasks.add(new Task(mNow.plus(delay), mNextNumber++, action));
    }

    void every(Duration period, Runnable action) {
        after(
                period,
                () -> {
                    action.run();
                    every(period, action);
                });
    }

    void advance(Duration time) {
        Instant end = mNow.plus(time);
        while (!mTasks.isEmpty() && !mTasks.element().due().isAfter(end)) {
            Task task = mTasks.remove();
            mNow = task.due();
            task.action().run();
        }
        mNow = end;
    }
}
