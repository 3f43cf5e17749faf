package org.oleanderspring.core.routing.command;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The calls that wait for one target, in the order in which they are served. A sorted array gives
 * the position of a call, which the estimate needs, in logarithmic time; moving the elements behind
 * an inserted one is cheap at the sizes that the queue limit allows.
 */
final class CallQueue {
    private final List<CallState> mCalls = new ArrayList<>();

    void add(CallState call) {
        mCalls.add(countBefore(call), call);
    }

    boolean remove(CallState call) {
        int index = Collections.binarySearch(mCalls, call, CallState.ORDER);
        if (index < 0) {
            return false;
        }
        mCalls.remove(index);
        return true;
    }

    /** Returns the call to be served first, or null. */
    @Nullable CallState first() {
        return mCalls.isEmpty() ? null : mCalls.get(0);
    }

    /** Returns how many waiting calls are served before a call. */
    int countBefore(CallState call) {
        int index = Collections.binarySearch(mCalls, call, CallState.ORDER);
        return index < 0 ? -index - 1 : index;
    }

    /** Returns the waiting calls, in order, as they are now. */
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
