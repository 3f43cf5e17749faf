package org.oleanderspring.duty.command;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.InsufficientCapacityException;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.StampedLock;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.duty.query.RingUsage;

/**
 * A thread that handles the events of one bounded ring, one after the other.
 *
 * <p>Any thread may offer events; an offer never blocks. The duty's thread waits on a lock while
 * the ring is empty, so an idle duty uses no processor time.
 *
 * @param <T> the type of event
 */
public final class DutyThread<T> implements EventSink<T>, RingUsage, AutoCloseable {
    private static final Logger LOGGER = System.getLogger(DutyThread.class.getName());

    private static final long FULL_RING_RETRY_MILLIS = 1;

    private final String mName;
    private final Disruptor<Cell<T>> mDisruptor;
    private final RingBuffer<Cell<T>> mRing;
    private final LongAdder mRejectedOffers = new LongAdder();
    private final StampedLock mStopLock = new StampedLock();
    private final CountDownLatch mEnded = new CountDownLatch(1);
    private boolean mStopped;

    /**
     * Creates the ring of a duty; it takes events at once and handles them after {@link #start}.
     *
     * @param name the name of the thread
     * @param capacity the number of places in the ring, a power of two
     */
    public DutyThread(String name, int capacity) {
        mName = Objects.requireNonNull(name, "name");
        ThreadFactory threads =
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                };
        mDisruptor =
                new Disruptor<>(
                        Cell::new,
                        capacity,
                        threads,
                        ProducerType.MULTI,
                        new BlockingWaitStrategy());
        mDisruptor.setDefaultExceptionHandler(new FaultLogger<>(name));
        mRing = mDisruptor.getRingBuffer();
    }

    /**
     * Starts the thread.
     *
     * @param handler called on the duty's thread for each event
     */
    public void start(EventHandler<T> handler) {
        mDisruptor.handleEventsWith(new CellHandler(handler));
        mDisruptor.start();
    }

    @Override
    public OfferResult offer(T event) {
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
    public long rejectedOffers() {
        return mRejectedOffers.sum();
    }

    /**
     * Refuses further events, handles those already in the ring, and ends the thread.
     *
     * <p>{@link Disruptor#shutdown()} is not used: it busy-waits, and it drops accepted events when
     * the thread has not yet begun to run. Instead an empty cell marks the end. Offers hold the
     * read lock while they publish, so every accepted event precedes the end marker.
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
        try {
            while (!publish(null)) {
                Thread.sleep(FULL_RING_RETRY_MILLIS);
            }
            mEnded.await();
        } catch (InterruptedException interrupted) {
            mDisruptor.halt();
            Thread.currentThread().interrupt();
        }
        LOGGER.log(Level.DEBUG, "[duty] Thread {0} has stopped.", mName);
    }

    /** Passes events to the duty's handler and halts the thread at the end marker. */
    private final class CellHandler implements com.lmax.disruptor.EventHandler<Cell<T>> {
        private final EventHandler<T> mHandler;

        CellHandler(EventHandler<T> handler) {
            mHandler = handler;
        }

        @Override
        public void onEvent(Cell<T> cell, long sequence, boolean endOfBatch) {
            T event = cell.take();
            if (event == null) {
                mDisruptor.halt();
                return;
            }
            mHandler.handle(event);
        }

        @Override
        public void onShutdown() {
            mEnded.countDown();
        }
    }

    /** A reusable place of the ring; it lets go of its event once the event is taken. */
    private static final class Cell<T> {
        private @Nullable T mEvent;

        void set(@Nullable T event) {
            mEvent = event;
        }

        @Nullable T take() {
            T event = mEvent;
            mEvent = null;
            return event;
        }
    }

    /** Keeps a duty alive after a program fault in its handler, and logs the fault. */
    private static final class FaultLogger<E> implements ExceptionHandler<E> {
        private final String mName;

        FaultLogger(String name) {
            mName = name;
        }

        @Override
        public void handleEventException(Throwable fault, long sequence, E event) {
            LOGGER.log(Level.ERROR, "[duty] The handler of thread " + mName + " failed.", fault);
        }

        @Override
        public void handleOnStartException(Throwable fault) {
            LOGGER.log(Level.ERROR, "[duty] Thread " + mName + " failed to start.", fault);
        }

        @Override
        public void handleOnShutdownException(Throwable fault) {
            LOGGER.log(Level.ERROR, "[duty] Thread " + mName + " failed to stop.", fault);
        }
    }
}
