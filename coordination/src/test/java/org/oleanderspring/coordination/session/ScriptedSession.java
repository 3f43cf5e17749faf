package org.oleanderspring.coordination.session;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.oleanderspring.coordination.fake.FakeKeyValueService;
import org.oleanderspring.coordination.fake.VirtualTime;
import org.oleanderspring.coordination.store.StoreKey;

/**
 * A session of one decider with a fake service, in which each operation waits until the script
 * resolves the oldest one: {@code deliver} executes it and delivers its result, {@code lose-reply}
 * executes it and delivers an unknown outcome, {@code lose-request} delivers an unknown outcome
 * without executing it, and {@code refuse} reports that the service is unavailable. {@code tick MS}
 * advances the time and fires the timer; {@code remove KEY} removes a key from the service.
 */
abstract class ScriptedSession {
    private record PendingOperation<R>(
            Supplier<R> effect, R unavailable, R unknown, Consumer<R> reply) {
        void deliver() {
            reply.accept(effect.get());
        }

        void loseReply() {
            effect.get();
            reply.accept(unknown);
        }

        void loseRequest() {
            reply.accept(unknown);
        }

        void refuse() {
            reply.accept(unavailable);
        }
    }

    final VirtualTime mTime = new VirtualTime();
    final FakeKeyValueService mService = new FakeKeyValueService(mTime);
    final List<String> mOutput = new ArrayList<>();
    private final ArrayDeque<PendingOperation<?>> mPendingOperations = new ArrayDeque<>();

    /** Runs one command and returns the decisions that followed. */
    final List<String> run(String command) {
        mOutput.clear();
        String[] words = command.split(" ");
        switch (words[0]) {
            case "tick" -> {
                mTime.advance(Duration.ofMillis(Long.parseLong(words[1])));
                tick();
            }
            case "deliver" -> reply(PendingOperation::deliver);
            case "lose-reply" -> reply(PendingOperation::loseReply);
            case "lose-request" -> reply(PendingOperation::loseRequest);
            case "refuse" -> reply(PendingOperation::refuse);
            case "remove" -> mService.remove(new StoreKey(words[1]));
            default -> command(words);
        }
        return List.copyOf(mOutput);
    }

    private void reply(Consumer<PendingOperation<?>> resolution) {
        if (mPendingOperations.isEmpty()) {
            mOutput.add("(no operation waits)");
            return;
        }
        resolution.accept(mPendingOperations.remove());
    }

    /** Runs a command of the concrete session. */
    abstract void command(String[] words);

    /** Sends a timer event to the decider. */
    abstract void tick();

    /** Adds an operation that waits until the script resolves it; {@code text} is its output. */
    final <R> void enqueue(
            String text, Supplier<R> effect, R unavailable, R unknown, Consumer<R> reply) {
        mOutput.add(text);
        mPendingOperations.add(new PendingOperation<>(effect, unavailable, unknown, reply));
    }
}
