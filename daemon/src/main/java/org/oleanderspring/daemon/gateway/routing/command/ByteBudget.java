package org.oleanderspring.daemon.gateway.routing.command;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory that all calls of a daemon together hold for one purpose. Calls whose own bound
 * is much smaller than the memory can still fill it if there are many. Thread-safe.
 */
final class ByteBudget {
    private final long mCapacity;
    private final AtomicLong mHeld = new AtomicLong();

    ByteBudget(long capacity) {
        mCapacity = capacity;
    }

    /** Holds more bytes, if that does not exceed the capacity; returns whether it does not. */
    boolean tryHold(long bytes) {
        if (mHeld.addAndGet(bytes) <= mCapacity) {
            return true;
        }
        mHeld.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        mHeld.addAndGet(-bytes);
    }

    /** Returns the number of bytes that are held. */
    long held() {
        return mHeld.get();
    }
}
