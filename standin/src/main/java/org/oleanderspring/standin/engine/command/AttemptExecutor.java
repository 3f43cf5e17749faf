package org.oleanderspring.standin.engine.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.oleanderspring.standin.engine.CompletionAttempt;
import org.oleanderspring.standin.engine.CompletionAttemptState;
import org.oleanderspring.standin.engine.EngineSlot;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.http.StateThread;

/**
 * Runs attempts up to the concurrency limit and produces their tokens at a fixed delay. Attempts
 * that wait are started by priority, the highest number first, then in order of arrival. Used on
 * the engine's state thread only.
 */
public final class AttemptExecutor {
    private static final Logger LOGGER = System.getLogger(AttemptExecutor.class.getName());
    private static final int ECHO_CHARACTERS = 64;
    private static final Comparator<PendingAttempt> BY_PRIORITY =
            Comparator.comparingInt((PendingAttempt pending) -> -pending.attempt().priority());

    private final StateThread mStateThread;
    private final EngineState mState;
    private final List<PendingAttempt> mPending = new ArrayList<>();

    /**
     * Creates an executor.
     *
     * @param stateThread the thread that owns the state
     * @param state the engine state
     */
    public AttemptExecutor(StateThread stateThread, EngineState state) {
        mStateThread = stateThread;
        mState = state;
    }

    boolean hasCapacity() {
        return mState.activeCalls() < mState.options().concurrency()
                || mPending.size() < mState.options().queueLimit();
    }

    void submit(CompletionAttempt attempt, String prompt) {
        mState.retainAttempt(attempt);
        mPending.add(new PendingAttempt(attempt, prompt));
        startPending();
    }

    private void startPending() {
        mPending.sort(BY_PRIORITY);
        while (!mPending.isEmpty() && mState.activeCalls() < mState.options().concurrency()) {
            PendingAttempt next = mPending.remove(0);
            if (next.attempt().state() == CompletionAttemptState.WAITING) {
                start(next);
            }
        }
    }

    private void start(PendingAttempt next) {
        CompletionAttempt attempt = next.attempt();
        EngineSlot slot = mState.slots().get(attempt.model());
        if (slot == null || !mState.isReady(attempt.model())) {
            // The model, or the base model of the adapter, was unloaded while the attempt waited.
            attempt.finish(CompletionAttemptState.CUT);
            return;
        }
        attempt.setState(CompletionAttemptState.RUNNING);
        slot.addActiveCalls(1);
        mState.ledger().recordRun(attempt);
        mState.updateReport();
        LOGGER.log(
                Level.INFO,
                "[engine] Attempt {0} started, model={1}, priority={2}.",
                attempt.id(),
                attempt.model(),
                attempt.priority());
        boolean cached = mState.prefixCache().lookUpOrAdd(attempt.model(), next.prompt());
        Duration prefill = cached ? Duration.ZERO : mState.options().prefillDelay();
        mStateThread.schedule(prefill.plus(tokenDelay()), () -> produceToken(next, slot));
    }

    private Duration tokenDelay() {
        return mState.options().tokenDelay().plus(mState.faults().extraTokenDelay());
    }

    private void produceToken(PendingAttempt running, EngineSlot slot) {
        CompletionAttempt attempt = running.attempt();
        if (attempt.state() != CompletionAttemptState.RUNNING) {
            // Cancelled or aborted after this token was scheduled.
            return;
        }
        int index = attempt.tokens().size();
        attempt.addToken(index == 0 ? echo(running.prompt()) : " t" + index);
        if (!attempt.hasAllTokens()) {
            mStateThread.schedule(tokenDelay(), () -> produceToken(running, slot));
            return;
        }
        end(attempt, CompletionAttemptState.COMPLETED);
    }

    /**
     * Returns the first token, which echoes the last characters of the prompt: prompts of different
     * calls often start alike, so their ends identify a call better.
     */
    private static String echo(String prompt) {
        int start = Math.max(0, prompt.length() - ECHO_CHARACTERS);
        return "echo[" + prompt.substring(start) + "]";
    }

    void cancel(CompletionAttempt attempt) {
        if (isUnfinished(attempt)) {
            end(attempt, CompletionAttemptState.CANCELLED);
        }
    }

    void abortAll(String model) {
        List<CompletionAttempt> aborted = new ArrayList<>();
        for (CompletionAttempt attempt : mState.attempts()) {
            if (isUnfinished(attempt) && attempt.model().equals(model)) {
                aborted.add(attempt);
            }
        }
        aborted.forEach(attempt -> end(attempt, CompletionAttemptState.CUT));
    }

    private static boolean isUnfinished(CompletionAttempt attempt) {
        return attempt.state() == CompletionAttemptState.WAITING
                || attempt.state() == CompletionAttemptState.RUNNING;
    }

    private void end(CompletionAttempt attempt, CompletionAttemptState state) {
        EngineSlot slot = mState.slots().get(attempt.model());
        if (slot != null && attempt.state() == CompletionAttemptState.RUNNING) {
            slot.addActiveCalls(-1);
        }
        attempt.finish(state);
        mState.updateReport();
        startPending();
    }

    private record PendingAttempt(CompletionAttempt attempt, String prompt) {}
}
