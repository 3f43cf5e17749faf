package org.oleanderspring.peer.command;

import java.util.concurrent.atomic.AtomicInteger;

/** Limits the number of unsent bytes; thread-safe. */
final class SendBudget {
    private final int mLimit;
    private final AtomicInteger mUsed = new AtomicInteger();

    SendBudget(int limit) {
        mLimit = limit;
    }

    /** Reserves bytes unless that would exceed the limit; returns whether they were reserved. */
    boolean reserve(int bytes) {
        if (mUsed.addAndGet(bytes) <= mLimit) {
            return true;
        }
        mUsed.addAndGet(-bytes);
        return false;
    }

    /** Returns reserved bytes to the budget. */
    void release(int bytes) {
        mUsed.addAndGet(-bytes);
    }
}
