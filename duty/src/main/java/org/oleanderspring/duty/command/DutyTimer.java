package org.oleanderspring.duty.command;

import java.time.Duration;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Offers events to rings at scheduled times, from a single thread.
 *
 * <p>An event is dropped if its ring is full. For periodic ticks this is harmless, because the next
 * tick does the same work. Events that must not be lost are offered through a {@link RetryingSink}.
 */
public final class DutyTimer implements AutoCloseable {
    private final ScheduledThreadPoolExecutor mExecutor;

    /** Creates a timer whose daemon thread starts with the first scheduled event. */
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
     * Offers a new event to a sink at a fixed rate, the first one after one period, until the timer
     * is closed. If the sink or the supplier throws an exception, no further events follow.
     *
     * @param period the time between two events
     * @param sink receives the events on the timer's thread
     * @param event creates an event, on the timer's thread
     * @param <T> the type of event
     */
    public <T> void scheduleAtFixedRate(Duration period, EventSink<T> sink, Supplier<T> event) {
        long nanos = period.toNanos();
        mExecutor.scheduleAtFixedRate(
                () -> sink.offer(event.get()), nanos, nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Offers an event to a sink once. The event is dropped if the timer is closed before the delay
     * has passed.
     *
     * @param delay the time until the offer
     * @param sink receives the event on the timer's thread
     * @param event the event
     * @param <T> the type of event
     */
    public <T> void schedule(Duration delay, EventSink<T> sink, T event) {
        mExecutor.schedule(() -> sink.offer(event), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Drops all scheduled events and stops the thread without waiting for it. Scheduling another
     * event afterwards throws {@code RejectedExecutionException}.
     */
    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
