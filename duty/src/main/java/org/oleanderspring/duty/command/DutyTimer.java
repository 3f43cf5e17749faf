package org.oleanderspring.duty.command;

import java.time.Duration;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The timer duty: one thread that puts tick events into rings.
 *
 * <p>A tick that finds its ring full is dropped; the next tick does the same work.
 */
public final class DutyTimer implements AutoCloseable {
    private final ScheduledThreadPoolExecutor mExecutor;

    /** Creates the timer and its thread. */
    public DutyTimer() {
        mExecutor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "timer");
                            thread.setDaemon(true);
                            return thread;
                        });
        mExecutor.setRemoveOnCancelPolicy(true);
        mExecutor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /**
     * Offers a new event to a sink at a fixed rate.
     *
     * @param period the time between two events
     * @param sink takes the events
     * @param event makes an event
     * @param <T> the type of event
     */
    public <T> void every(Duration period, EventSink<T> sink, Supplier<T> event) {
        long nanos = period.toNanos();
        mExecutor.scheduleAtFixedRate(
                () -> sink.offer(event.get()), nanos, nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Offers an event to a sink once.
     *
     * @param delay how long to wait
     * @param sink takes the event
     * @param event the event
     * @param <T> the type of event
     */
    public <T> void after(Duration delay, EventSink<T> sink, T event) {
        mExecutor.schedule(() -> sink.offer(event), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
