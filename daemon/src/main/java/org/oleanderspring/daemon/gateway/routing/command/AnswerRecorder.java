package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Instant;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.SuspectCall;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;

/**
 * Tells the {@link PromptObserver} which prompts were answered and under which ones connections to
 * runners broke. Answered prompts are collected and reported together, and always before a broken
 * one that follows.
 */
final class AnswerRecorder {
    private final PromptObserver mObserver;
    private final Set<Prompt> mAnswered = new HashSet<>();
    private final Set<PromptPattern> mRefused = new HashSet<>();

    AnswerRecorder(PromptObserver observer) {
        mObserver = observer;
    }

    /**
     * Records what the end of an attempt shows about the prompt of its call.
     *
     * @param isRunnerLeaving whether the runner was about to shut down, so that its end is expected
     */
    void attemptEnded(
            GatewayCall call,
            ActiveAttempt attempt,
            AttemptOutcome outcome,
            boolean isRunnerLeaving,
            Instant now) {
        Prompt prompt = call.call().prompt();
        if (prompt.sharedParts().isEmpty()) {
            return;
        }
        if (attempt.provesPromptSound(outcome)) {
            mAnswered.add(prompt);
        } else if (attempt.suggestsCrash(outcome) && !isRunnerLeaving) {
            report();
            mObserver.answerBroken(
                    attempt.runner(),
                    new SuspectCall(call.attemptName(), prompt, attempt.age(now)));
        }
    }

    /** Adds the prompts of calls whose answers show that their prompts are sound. */
    void answering(Map<AttemptId, ActiveAttempt> attempts, Map<CallId, GatewayCall> calls) {
        attempts.forEach(
                (attempt, active) -> {
                    GatewayCall call = calls.get(attempt.call());
                    if (call == null || !active.provesPromptSound()) {
                        return;
                    }
                    Prompt prompt = call.call().prompt();
                    if (!prompt.sharedParts().isEmpty()) {
                        mAnswered.add(prompt);
                    }
                });
    }

    /** Adds the pattern of a call that was refused because of its prompt. */
    void refused(PromptPattern pattern) {
        mRefused.add(pattern);
    }

    /** Reports what was answered and refused since the last report. */
    void report() {
        if (!mAnswered.isEmpty()) {
            mObserver.callsAnswered(mAnswered);
            mAnswered.clear();
        }
        if (!mRefused.isEmpty()) {
            mObserver.callsRefused(mRefused);
            mRefused.clear();
        }
    }
}
