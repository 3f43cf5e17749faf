package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.DeadlineScope;

/** The open calls of the daemon, indexed by identity and by deadline. */
final class CallTable {
    private final Map<CallId, CallState> mCalls = new HashMap<>();
    private final TreeSet<CallState> mDeadlineIndex = new TreeSet<>(CallState.ORDER);

    void add(CallState call) {
        mCalls.put(call.request().id(), call);
        mDeadlineIndex.add(call);
    }

    void remove(CallState call) {
        mCalls.remove(call.request().id());
        mDeadlineIndex.remove(call);
    }

    @Nullable CallState get(CallId id) {
        return mCalls.get(id);
    }

    /** Returns the call whose running attempt has the given identity, or null if there is none. */
    @Nullable CallState findByRunningAttempt(AttemptId attempt) {
        CallState call = mCalls.get(attempt.call());
        return call != null && call.isRunning(attempt) ? call : null;
    }

    /**
     * Removes a call from the deadline index because its response has begun, unless the deadline
     * bounds the complete response.
     */
    void responseBegan(CallState call) {
        if (call.request().deadlineScope() == DeadlineScope.FULL_RESPONSE) {
            return;
        }
        mDeadlineIndex.remove(call);
    }

    /** Returns a call in the deadline index whose deadline has passed, or null. */
    @Nullable CallState firstOverdue(Instant now) {
        if (mDeadlineIndex.isEmpty()) {
            return null;
        }
        CallState first = mDeadlineIndex.first();
        return first.request().deadline().isAfter(now) ? null : first;
    }

    /** Returns the calls in the deadline index that have no running attempt, in serving order. */
    List<CallState> withoutAttempt() {
        List<CallState> waiting = new ArrayList<>();
        for (CallState call : mDeadlineIndex) {
            if (call.phase() != CallPhase.RUNNING) {
                waiting.add(call);
            }
        }
        return waiting;
    }

    /** Returns a copy of all open calls. */
    List<CallState> all() {
        return List.copyOf(mCalls.values());
    }

    int size() {
        return mCalls.size();
    }
}
