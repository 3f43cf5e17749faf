package org.oleanderspring.daemon.gateway.routing.command;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Those that wait until no request is in progress. */
final class IdleWaiters {
    private final List<CompletableFuture<Boolean>> mWaiters = new ArrayList<>();

    void add(CompletableFuture<Boolean> waiter) {
        mWaiters.add(waiter);
    }

    /** Completes and removes all of them. */
    void complete() {
        mWaiters.forEach(waiter -> waiter.complete(true));
        mWaiters.clear();
    }
}
