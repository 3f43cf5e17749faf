package org.oleanderspring.standin.engine.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.oleanderspring.standin.engine.Attempt;
import org.oleanderspring.standin.engine.AttemptState;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.engine.Slot;
import org.oleanderspring.standin.http.StateDuty;

/** Runs attempts: waiting ones by priority, running ones token by token. */
public final class Generator {
    private static final Logger LOGGER = System.getLogger(Generator.class.getName());
    private static final int ECHO_CHARACTERS = 64;
    private static final Comparator<Waiting> BY_PRIORITY =
            Comparator.comparingInt((Waiting waiting) -> -waiting.attempt().priority());

    private final StateDuty mDuty;
    private final EngineState mState;
    private final List<Waiting> mWaiting = new ArrayList<>();

    /**
     * Creates a generator.
     *
     * @param duty owns the state
     * @param state the state
     */
    public Generator(StateDuty duty, EngineState state) {
        mDuty = duty;
        mState = state;
    }

    boolean hasRoom() {
        return mState.activeCalls() < mState.options().concurrency()
                || mWaiting.size() < mState.options().queueLimit();
    }

    void add(Attempt attempt, String prompt) {
        mState.keepAttempt(attempt);
        mWaiting.add(new Waiting(attempt, prompt));
        startWaiting();
    }

    private void startWaiting() {
        mWaiting.sort(BY_PRIORITY);
        while (!mWaiting.isEmpty() && mState.activeCalls() < mState.options().concurrency()) {
            Waiting next = mWaiting.remove(0);
            if (next.attempt().state() == AttemptState.WAITING) {
                start(next);
            }
        }
    }

    private void start(Waiting next) {
        Attempt attempt = next.attempt();
        Slot slot = mState.slots().get(attempt.model());
        if (slot == null || !mState.isReady(attempt.model())) {
            attempt.end(AttemptState.CUT);
            return;
        }
        attempt.setState(AttemptState.RUNNING);
        slot.addActiveCalls(1);
        mState.ledger().addRun(attempt);
        mState.changed();
        LOGGER.log(
                Level.INFO,
                "[engine] Attempt {0} runs, model={1}, priority={2}.",
                attempt.id(),
                attempt.model(),
                attempt.priority());
        boolean cached = mState.prefixCache().use(attempt.model(), next.prompt());
        Duration prefill = cached ? Duration.ZERO : mState.options().prefillDelay();
        mDuty.after(prefill.plus(tokenDelay()), () -> step(next, slot));
    }

    private Duration tokenDelay() {
        return mState.options().tokenDelay().plus(mState.faults().extraTokenDelay());
    }

    private void step(Waiting run, Slot slot) {
        Attempt attempt = run.attempt();
        if (attempt.state() != AttemptState.RUNNING) {
            return;
        }
        int index = attempt.tokens().size();
        attempt.addToken(index == 0 ? echo(run.prompt()) : " t" + index);
        if (!attempt.hasAllTokens()) {
            mDuty.after(tokenDelay(), () -> step(run, slot));
            return;
        }
        end(attempt, AttemptState.COMPLETED);
    }

    /** Repeats the end of the prompt, which differs more between callers than its start. */
    private static String echo(String prompt) {
        int start = Math.max(0, prompt.length() - ECHO_CHARACTERS);
        return "echo[" + prompt.substring(start) + "]";
    }

    void cancel(Attempt attempt) {
        if (isOpen(attempt)) {
            end(attempt, AttemptState.CANCELLED);
        }
    }

    void cut(String model) {
        List<Attempt> cut = new ArrayList<>();
        for (Attempt attempt : mState.attempts()) {
            if (isOpen(attempt) && attempt.model().equals(model)) {
                cut.add(attempt);
            }
        }
        cut.forEach(attempt -> end(attempt, AttemptState.CUT));
    }

    private static boolean isOpen(Attempt attempt) {
        return attempt.state() == AttemptState.WAITING || attempt.state() == AttemptState.RUNNING;
    }

    private void end(Attempt attempt, AttemptState state) {
        Slot slot = mState.slots().get(attempt.model());
        if (slot != null && attempt.state() == AttemptState.RUNNING) {
            slot.addActiveCalls(-1);
        }
        attempt.end(state);
        mState.changed();
        startWaiting();
    }

    private record Waiting(Attempt attempt, String prompt) {}
}
