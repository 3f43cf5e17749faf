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

/** The open calls of the daemon, by identity and by deadline. */
final class CallTable {
    private final Map<CallId, CallState> mCalls = new HashMap<>();
    private final TreeSet<CallState> mUnanswered = new TreeSet<>(CallState.ORDER);

    void add(CallState call) {
        mCalls.put(call.request().id(), call);
        mUnanswered.add(call);
    }

    void remove(CallState call) {
        mCalls.remove(call.request().id());
        mUnanswered.remove(call);
    }

    @Nullable CallState get(CallId id) {
        return mCalls.get(id);
    }

    /** Returns the call whose running attempt has the given identity, or null for a late event. */
    @Nullable CallState current(AttemptId attempt) {
        CallState call = mCalls.get(attempt.call());
        return call != null && call.isCurrent(attempt) ? call : null;
    }

    /** Exempts a call from its deadline because its answer has begun. */
    void answerBegan(CallState call) {
        if (call.request().deadlineScope() == DeadlineScope.FULL_RESPONSE) {
            return;
        }
        mUnanswered.remove(call);
    }

    /** Returns a call without an answer whose deadline has passed, or null. */
    @Nullable CallState firstOverdue(Instant now) {
        if (mUnanswered.isEmpty()) {
            return null;
        }
        CallState first = mUnanswered.first();
        return first.request().deadline().isAfter(now) ? null : first;
    }

    /** Returns the calls that have no running attempt. */
    List<CallState> withoutAttempt() {
        List<CallState> idle = new ArrayList<>();
        for (CallState call : mUnanswered) {
            if (call.phase() != CallPhase.RUNNING) {
                idle.add(call);
            }
        }
        return idle;
    }

    int size() {
        return mCalls.size();
    }
}
