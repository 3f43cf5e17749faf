package org.oleanderspring.duty.command;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.InsufficientCapacityException;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.StampedLock;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.duty.query.DutyLoad;
import org.oleanderspring.duty.query.RingUsage;

/**
 * A thread that handles the events of one bounded ring buffer sequentially.
 *
 * <p>Any thread may offer events; an offer never blocks. The thread blocks on a condition while the
 * ring is empty, so an idle duty uses no CPU time.
 *
 * <p>Every accepted event is handled, also when the duty stops: {@link #close} rejects further
 * offers, appends an end marker to the ring, and waits until the thread has reached it, unless the
 * closing thread is interrupted. An exception of the handler is logged, and the thread continues
 * with the next event.
 *
 * @param <T> the type of event
 */
public final class DutyThread<T> implements EventSink<T>, RingUsage, AutoCloseable {
    private static final Logger LOGGER = System.getLogger(DutyThread.class.getName());

    private static final long FULL_RING_RETRY_MILLIS = 1;

    private static final Duration LOAD_PERIOD = Duration.ofSeconds(5);

    private final String mName;
    private final Disruptor<RingEntry<T>> mDisruptor;
    private final RingBuffer<RingEntry<T>> mRing;
    private final EntryHandler mEntryHandler = new EntryHandler();
    private final LongAdder mRejectedOffers = new LongAdder();
    private final DutyLoadRecorder<T> mLoadRecorder;
    private final StampedLock mStopLock = new StampedLock();
    private final CountDownLatch mTerminated = new CountDownLatch(1);
    private boolean mStopped;
    private volatile boolean mStarted;
    private volatile long mLastWaitNanos;
    private volatile long mBusyNanos;
    private volatile Consumer<DutyLoad> mLoadListener = load -> {};

    /**
     * Creates the ring and the thread. The ring accepts events immediately; they are handled after
     * {@link #start}, or never without it.
     *
     * @param name the name of the thread
     * @param capacity the capacity of the ring in events; a power of two
     */
    public DutyThread(String name, int capacity) {
        this(name, capacity, event -> event.getClass().getSimpleName());
    }

    /**
     * Creates the ring and the thread, like {@link #DutyThread(String, int)}.
     *
     * @param name the name of the thread
     * @param capacity the capacity of the ring in events; a power of two
     * @param kindOf names the kind of an event, by which the work is measured
     */
    public DutyThread(String name, int capacity, Function<T, String> kindOf) {
        mName = Objects.requireNonNull(name, "name");
        mLoadRecorder = new DutyLoadRecorder<>(kindOf, System.nanoTime());
        ThreadFactory threads =
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                };
        mDisruptor =
                new Disruptor<>(
                        RingEntry::new,
                        capacity,
                        threads,
                        ProducerType.MULTI,
                        new BlockingWaitStrategy());
        mDisruptor.setDefaultExceptionHandler(new ExceptionLogger<>(name));
        // A handler that is added later would start behind the events already in the ring.
        mDisruptor.handleEventsWith(mEntryHandler);
        mRing = mDisruptor.getRingBuffer();
    }

    /**
     * Sets the listener that the duty's thread informs of its work, after the first event of each
     * period.
     *
     * @param listener called on the duty's thread
     */
    public void onLoad(Consumer<DutyLoad> listener) {
        mLoadListener = listener;
    }

    /**
     * Starts the thread. Must be called at most once, and not after {@link #close}.
     *
     * @param handler called on the duty's thread for each event
     */
    public void start(EventHandler<T> handler) {
        mEntryHandler.mHandler = handler;
        mStarted = true;
        mDisruptor.start();
    }

    @Override
    public OfferResult offer(T event) {
        // Only close() takes the write lock, so a failed attempt means that the duty is stopping.
        long stamp = mStopLock.tryReadLock();
        if (stamp == 0L) {
            return OfferResult.STOPPED;
        }
        try {
            if (mStopped) {
                return OfferResult.STOPPED;
            }
            if (!publish(event)) {
                mRejectedOffers.increment();
                return OfferResult.FULL;
            }
            return OfferResult.ACCEPTED;
        } finally {
            mStopLock.unlockRead(stamp);
        }
    }

    private boolean publish(@Nullable T event) {
        long sequence;
        try {
            sequence = mRing.tryNext();
        } catch (InsufficientCapacityException full) {
            return false;
        }
        mRing.get(sequence).set(event);
        mRing.publish(sequence);
        return true;
    }

    @Override
    public long capacity() {
        return mRing.getBufferSize();
    }

    @Override
    public long used() {
        return mRing.getBufferSize() - mRing.remainingCapacity();
    }

    @Override
    public Duration lastWait() {
        return Duration.ofNanos(mLastWaitNanos);
    }

    @Override
    public Duration busy() {
        return Duration.ofNanos(mBusyNanos);
    }

    @Override
    public long rejectedOffers() {
        return mRejectedOffers.sum();
    }

    /**
     * Rejects further events, handles those already in the ring, and waits for the thread to end.
     * Does not wait if the thread was never started.
     *
     * <p>{@link Disruptor#shutdown()} is not used, because it busy-waits and because it drops
     * accepted events if the thread has not started to run yet. Instead, an entry without an event
     * marks the end of the ring. Offers hold the read lock while they publish, so every accepted
     * event precedes the end marker.
     *
     * <p>If the calling thread is interrupted, events that are still in the ring may be dropped.
     */
    @Override
    public void close() {
        long stamp = mStopLock.writeLock();
        try {
            if (mStopped) {
                return;
            }
            mStopped = true;
        } finally {
            mStopLock.unlockWrite(stamp);
        }
        if (!mStarted) {
            return;
        }
        try {
            while (!publish(null)) {
                Thread.sleep(FULL_RING_RETRY_MILLIS);
            }
            mTerminated.await();
        } catch (InterruptedException interrupted) {
            mDisruptor.halt();
            Thread.currentThread().interrupt();
        }
        LOGGER.log(Level.DEBUG, "[duty] Thread {0} has stopped.", mName);
    }

    /** Passes events to the duty's handler and halts the thread at the end marker. */
    private final class EntryHandler implements com.lmax.disruptor.EventHandler<RingEntry<T>> {
        /** Set before the thread starts. */
        private EventHandler<T> mHandler = event -> {};

        @Override
        public void onEvent(RingEntry<T> entry, long sequence, boolean endOfBatch) {
            T event = entry.take();
            if (event == null) {
                mDisruptor.halt();
                return;
            }
            long takenAt = System.nanoTime();
            long waitNanos = takenAt - entry.mOfferedAtNanos;
            mLastWaitNanos = waitNanos;
            try {
                mHandler.handle(event);
            } finally {
                recordLoad(event, waitNanos, takenAt);
            }
        }

        private void recordLoad(T event, long waitNanos, long takenAt) {
            long now = System.nanoTime();
            // Only this thread writes the field.
            mBusyNanos = mBusyNanos + now - takenAt;
            mLoadRecorder.record(event, waitNanos, now - takenAt);
            if (now - mLoadRecorder.periodStart() >= LOAD_PERIOD.toNanos()) {
                mLoadListener.accept(mLoadRecorder.take(now));
            }
        }

        @Override
        public void onShutdown() {
            mTerminated.countDown();
        }
    }

    /** A reusable ring entry; taking its event clears it, so that the event can be collected. */
    private static final class RingEntry<T> {
        private @Nullable T mEvent;
        private long mOfferedAtNanos;

        void set(@Nullable T event) {
            mOfferedAtNanos = System.nanoTime();
            mEvent = event;
        }

        @Nullable T take() {
            T event = mEvent;
            mEvent = null;
            return event;
        }
    }

    /** Logs exceptions of the handler, so that the thread continues with the next event. */
    private static final class ExceptionLogger<E> implements ExceptionHandler<E> {
        private final String mName;

        ExceptionLogger(String name) {
            mName = name;
        }

        @Override
        public void handleEventException(Throwable exception, long sequence, E event) {
            LOGGER.log(
                    Level.ERROR,
                    "[duty] The event handler of thread " + mName + " threw an exception.",
                    exception);
        }

        @Override
        public void handleOnStartException(Throwable exception) {
            LOGGER.log(Level.ERROR, "[duty] The start of thread " + mName + " failed.", exception);
        }

        @Override
        public void handleOnShutdownException(Throwable exception) {
            LOGGER.log(
                    Level.ERROR, "[duty] The shutdown of thread " + mName + " failed.", exception);
        }
    }
}
