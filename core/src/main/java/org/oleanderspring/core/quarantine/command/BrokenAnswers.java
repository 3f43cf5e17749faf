package org.oleanderspring.core.quarantine.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.RunnerCrash;
import org.oleanderspring.core.quarantine.SuspectCall;

/**
 * Calls whose runner closed the connection, until it is known whether the runner ended. A runner
 * that still answers broke off a single answer, which is no evidence about prompts.
 */
final class BrokenAnswers {
    /**
     * How long the result of a check applies to further broken answers of the same runner. Its
     * other connections break at nearly the same time.
     */
    private static final Duration RESULT_VALIDITY = Duration.ofSeconds(1);

    private final Map<EndpointId, List<SuspectCall>> mUnchecked = new HashMap<>();
    private final Map<EndpointId, Instant> mEndedAt = new HashMap<>();

    /** Adds a call whose answer broke off. Returns whether its runner has to be checked. */
    boolean add(EndpointId runner, SuspectCall call) {
        List<SuspectCall> calls = mUnchecked.get(runner);
        if (calls != null) {
            calls.add(call);
            return false;
        }
        mUnchecked.put(runner, new ArrayList<>(List.of(call)));
        return true;
    }

    /** Returns whether a runner is known to have ended a short time ago. */
    boolean hasEnded(EndpointId runner, Instant now) {
        mEndedAt.values().removeIf(endedAt -> !now.isBefore(endedAt.plus(RESULT_VALIDITY)));
        return mEndedAt.containsKey(runner);
    }

    /** Returns the crash that a check confirms; its calls are empty if none are waiting. */
    RunnerCrash ended(EndpointId runner, Instant now) {
        mEndedAt.put(runner, now);
        List<SuspectCall> calls = mUnchecked.remove(runner);
        return new RunnerCrash(runner, calls == null ? List.of() : calls);
    }

    void alive(EndpointId runner) {
        mUnchecked.remove(runner);
    }
}
