package org.oleanderspring.duty.command;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory that all users of a resource together hold for one purpose. Users whose own
 * bound is much smaller than the memory can still fill it if there are many. Thread-safe.
 */
public final class ByteBudget {
    private final long mCapacity;
    private final AtomicLong mHeld = new AtomicLong();

    /**
     * Creates a budget of which nothing is held.
     *
     * @param capacity the number of bytes that may be held
     */
    public ByteBudget(long capacity) {
        mCapacity = capacity;
    }

    /**
     * Holds more bytes, unless that would exceed the capacity.
     *
     * @param bytes their number
     * @return whether they are held
     */
    public boolean tryHold(long bytes) {
        if (mHeld.addAndGet(bytes) <= mCapacity) {
            return true;
        }
        mHeld.addAndGet(-bytes);
        return false;
    }

    /**
     * Returns bytes to the budget.
     *
     * @param bytes their number
     */
    public void release(long bytes) {
        mHeld.addAndGet(-bytes);
    }

    /** Returns the number of bytes that are held. */
    public long held() {
        return mHeld.get();
    }
}
