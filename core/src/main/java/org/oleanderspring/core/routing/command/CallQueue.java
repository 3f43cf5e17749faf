package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The waiting calls of one target, in the order in which they are served. A sorted array finds the
 * position of a call, which the wait estimate needs, in logarithmic time. Insertion moves the
 * elements behind the new one, which is cheap at the sizes that the queue limit allows.
 */
final class CallQueue {
    private final List<CallState> mCalls = new ArrayList<>();

    void add(CallState call) {
        mCalls.add(countBefore(call), call);
    }

    boolean remove(CallState call) {
        int index = Collections.binarySearch(mCalls, call, CallState.SERVING_ORDER);
        if (index < 0) {
            return false;
        }
        mCalls.remove(index);
        return true;
    }

    /** Returns the call to serve first, or null if the queue is empty. */
    @Nullable CallState first() {
        return mCalls.isEmpty() ? null : mCalls.get(0);
    }

    /** Returns the first call of the highest priority, or null if the queue is empty. */
    @Nullable CallState mostUrgent() {
        CallState mostUrgent = first();
        if (mostUrgent == null) {
            return null;
        }
        for (CallState call : mCalls) {
            if (call.request().priority() > mostUrgent.request().priority()) {
                mostUrgent = call;
            }
        }
        return mostUrgent;
    }

    /** Returns the number of waiting calls that are served before a call. */
    int countBefore(CallState call) {
        int index = Collections.binarySearch(mCalls, call, CallState.SERVING_ORDER);
        return index < 0 ? -index - 1 : index;
    }

    /** Returns when the oldest waiting call arrived, or now if none waits. */
    Instant oldest(Instant now) {
        Instant oldest = now;
        for (CallState call : mCalls) {
            oldest = call.arrivedAt().isBefore(oldest) ? call.arrivedAt() : oldest;
        }
        return oldest;
    }

    /** Returns a copy of the queue, in order. */
    List<CallState> calls() {
        return List.copyOf(mCalls);
    }

    int size() {
        return mCalls.size();
    }

    boolean isEmpty() {
        return mCalls.isEmpty();
    }
}
