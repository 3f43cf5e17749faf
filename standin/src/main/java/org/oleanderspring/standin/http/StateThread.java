package org.oleanderspring.standin.http;

import java.io.UncheckedIOException;
import java.time.Duration;
import org.oleanderspring.duty.command.DutyThread;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.duty.command.OfferResult;

/** The thread that owns the state of one stand-in; all reads and changes of the state run on it. */
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
     * Runs a step that answers a request. A full ring is answered with 503, which says that the
     * work did not run.
     *
     * @param exchange the request
     * @param step runs on the duty's thread
     */
    public void handleRequest(Exchange exchange, Runnable step) {
        Runnable guarded =
                () -> {
                    try {
                        step.run();
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
     * Runs a step that belongs to no request.
     *
     * @param step runs on the duty's thread
     */
    public void execute(Runnable step) {
        if (mThread.offer(step) != OfferResult.ACCEPTED) {
            throw new IllegalStateException("the stand-in's ring is full or stopped");
        }
    }

    /**
     * Runs a step later.
     *
     * @param delay how long to wait
     * @param step runs on the duty's thread
     */
    public void schedule(Duration delay, Runnable step) {
        mTimer.after(delay, mThread, step);
    }

    /**
     * Runs a step again and again.
     *
     * @param period the time between two runs
     * @param step runs on the duty's thread
     */
    public void scheduleAtFixedRate(Duration period, Runnable step) {
        mTimer.every(period, mThread, () -> step);
    }

    @Override
    public void close() {
        mThread.close();
        mTimer.close();
    }
}
