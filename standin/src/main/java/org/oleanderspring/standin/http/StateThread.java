package org.oleanderspring.standin.http;

import java.io.UncheckedIOException;
import java.time.Duration;
import org.oleanderspring.duty.command.DutyThread;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.duty.command.OfferResult;

/**
 * The thread that owns the state of one stand-in: all reads and changes of the state are tasks that
 * run on it, in the order in which they were submitted.
 */
public final class StateThread implements AutoCloseable {
    private static final int RING_CAPACITY = 1 << 14;

    private final DutyThread<Runnable> mThread;
    private final DutyTimer mTimer = new DutyTimer();

    /**
     * Creates and starts the thread.
     *
     * @param name the name of the thread
     */
    public StateThread(String name) {
        mThread = new DutyThread<>(name, RING_CAPACITY);
        mThread.start(Runnable::run);
    }

    /**
     * Submits a task that responds to a request. If the ring of the thread is full or the thread is
     * stopped, the response is 503 with {@code X-Work: not-run}. An {@link
     * IllegalArgumentException} or {@link UncheckedIOException} of the task gives a response with
     * status 400 and the message of the exception.
     *
     * @param exchange the request and its response
     * @param task the task, run on this thread
     */
    public void handleRequest(Exchange exchange, Runnable task) {
        Runnable guarded =
                () -> {
                    try {
                        task.run();
                    } catch (IllegalArgumentException | UncheckedIOException invalid) {
                        exchange.replyError(
                                400, "invalid_request", String.valueOf(invalid.getMessage()));
                    }
                };
        if (mThread.offer(guarded) != OfferResult.ACCEPTED) {
            exchange.withHeader("X-Work", "not-run")
                    .replyError(503, "busy", "the stand-in's ring is full");
        }
    }

    /**
     * Submits a task that belongs to no request.
     *
     * @param task the task, run on this thread
     * @throws IllegalStateException if the ring is full or the thread is stopped
     */
    public void execute(Runnable task) {
        if (mThread.offer(task) != OfferResult.ACCEPTED) {
            throw new IllegalStateException(
                    "the task ring of the stand-in is full or its thread is stopped");
        }
    }

    /**
     * Submits a task after a delay. It is dropped if the ring is full or the thread is stopped at
     * that time.
     *
     * @param delay the time until the task is submitted
     * @param task the task, run on this thread
     */
    public void schedule(Duration delay, Runnable task) {
        mTimer.schedule(delay, mThread, task);
    }

    /**
     * Submits a task at a fixed rate. A submission is dropped if the ring is full at that time.
     *
     * @param period the time between two submissions
     * @param task the task, run on this thread
     */
    public void scheduleAtFixedRate(Duration period, Runnable task) {
        mTimer.scheduleAtFixedRate(period, mThread, () -> task);
    }

    @Override
    public void close() {
        mThread.close();
        mTimer.close();
    }
}
