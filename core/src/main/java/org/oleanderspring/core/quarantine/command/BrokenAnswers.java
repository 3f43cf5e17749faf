package org.oleanderspring.core.quarantine.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
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

    private final Map<EndpointId, Unchecked> mUnchecked = new HashMap<>();
    private final Map<EndpointId, Ended> mEnded = new HashMap<>();

    /** A runner that is being checked, and its calls. */
    private record Unchecked(Instant brokeAt, List<SuspectCall> calls) {}

    private record Ended(Instant brokeAt, Instant knownAt) {}

    /** Adds a call whose answer broke off. Returns whether its runner has to be checked. */
    boolean add(QuarantineEvent.AnswerBroken broken, Instant now) {
        Unchecked unchecked = mUnchecked.get(broken.runner());
        if (unchecked != null) {
            unchecked.calls().add(broken.call());
            return false;
        }
        mUnchecked.put(
                broken.runner(), new Unchecked(now, new ArrayList<>(List.of(broken.call()))));
        return true;
    }

    /** Returns when the answers of a runner broke that ended a short time ago, or null. */
    @Nullable Instant endOf(EndpointId runner, Instant now) {
        mEnded.values().removeIf(ended -> !now.isBefore(ended.knownAt().plus(RESULT_VALIDITY)));
        Ended ended = mEnded.get(runner);
        return ended == null ? null : ended.brokeAt();
    }

    /** Returns the crash that a check confirms, or null if no calls are waiting for it. */
    @Nullable RunnerCrash ended(EndpointId runner, Instant now) {
        Unchecked unchecked = mUnchecked.remove(runner);
        if (unchecked == null) {
            return null;
        }
        mEnded.put(runner, new Ended(unchecked.brokeAt(), now));
        return new RunnerCrash(runner, unchecked.brokeAt(), unchecked.calls());
    }

    void alive(EndpointId runner) {
        mUnchecked.remove(runner);
    }
}
