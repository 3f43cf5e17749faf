package org.oleanderspring.peer.command;

import java.util.concurrent.atomic.AtomicInteger;

/** A number of bytes that may wait to be sent; used on all threads. */
final class SendBudget {
    private final int mLimit;
    private final AtomicInteger mUsed = new AtomicInteger();

    SendBudget(int limit) {
        mLimit = limit;
    }

    /** Takes bytes of the budget; returns whether there were enough. */
    boolean reserve(int bytes) {
        if (mUsed.addAndGet(bytes) <= mLimit) {
            return true;
        }
        mUsed.addAndGet(-bytes);
        return false;
    }

    /** Gives bytes back. */
    void release(int bytes) {
        mUsed.addAndGet(-bytes);
    }
}
