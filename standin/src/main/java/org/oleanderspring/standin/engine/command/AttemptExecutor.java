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

/** Runs attempts: waiting ones by priority, running ones token by token. */
public final class AttemptExecutor {
    private static final Logger LOGGER = System.getLogger(AttemptExecutor.class.getName());
    private static final int ECHO_CHARACTERS = 64;
    private static final Comparator<PendingAttempt> BY_PRIORITY =
            Comparator.comparingInt((PendingAttempt waiting) -> -waiting.attempt().priority());

    private final StateThread mDuty;
    private final EngineState mState;
    private final List<PendingAttempt> mPending = new ArrayList<>();

    /**
     * Creates a generator.
     *
     * @param duty owns the state
     * @param state the state
     */
    public AttemptExecutor(StateThread duty, EngineState state) {
        mDuty = duty;
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
            attempt.end(CompletionAttemptState.CUT);
            return;
        }
        attempt.setState(CompletionAttemptState.RUNNING);
        slot.addActiveCalls(1);
        mState.ledger().recordRun(attempt);
        mState.updateReport();
        LOGGER.log(
                Level.INFO,
                "[engine] Attempt {0} runs, model={1}, priority={2}.",
                attempt.id(),
                attempt.model(),
                attempt.priority());
        boolean cached = mState.prefixCache().lookUpOrAdd(attempt.model(), next.prompt());
        Duration prefill = cached ? Duration.ZERO : mState.options().prefillDelay();
        mDuty.schedule(prefill.plus(tokenDelay()), () -> produceToken(next, slot));
    }

    private Duration tokenDelay() {
        return mState.options().tokenDelay().plus(mState.faults().extraTokenDelay());
    }

    private void produceToken(PendingAttempt run, EngineSlot slot) {
        CompletionAttempt attempt = run.attempt();
        if (attempt.state() != CompletionAttemptState.RUNNING) {
            return;
        }
        int index = attempt.tokens().size();
        attempt.addToken(index == 0 ? echo(run.prompt()) : " t" + index);
        if (!attempt.hasAllTokens()) {
            mDuty.schedule(tokenDelay(), () -> produceToken(run, slot));
            return;
        }
        end(attempt, CompletionAttemptState.COMPLETED);
    }

    /** Repeats the end of the prompt, which differs more between callers than its start. */
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
        List<CompletionAttempt> cut = new ArrayList<>();
        for (CompletionAttempt attempt : mState.attempts()) {
            if (isUnfinished(attempt) && attempt.model().equals(model)) {
                cut.add(attempt);
            }
        }
        cut.forEach(attempt -> end(attempt, CompletionAttemptState.CUT));
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
        attempt.end(state);
        mState.updateReport();
        startPending();
    }

    private record PendingAttempt(CompletionAttempt attempt, String prompt) {}
}
