package org.oleanderspring.coordination.watch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.fake.VirtualTime;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.ChangesResult;
import org.oleanderspring.coordination.store.query.PageResult;
import org.oleanderspring.coordination.store.query.StoreChange;

/**
 * A key-value service in virtual time with one kind of trouble at a time. Every call that gets no
 * answer ends at its caller's limit, as an HTTP client ends it.
 */
final class SimulatedStore {
    private static final Duration LATENCY = Duration.ofMillis(2);
    private static final int SLOW_FACTOR = 50;

    private record Waiting(
            StoreKey prefix, Revision after, Instant until, Consumer<ChangesResult> reply) {}

    private final VirtualTime mTime;
    private final List<StoredValue> mChanges = new ArrayList<>();
    private final List<Waiting> mWaiting = new ArrayList<>();
    private final List<Instant> mReads = new ArrayList<>();
    private @Nullable StoreTrouble mTrouble;
    private long mRevision = 1;
    private long mCompacted;
    private long mCalls;

    SimulatedStore(VirtualTime time) {
        mTime = time;
    }

    void write(StoreKey key) {
        mRevision++;
        mChanges.add(new StoredValue(key, new byte[0], new Revision(mRevision)));
        if (mTrouble != StoreTrouble.HISTORY_DROPPED) {
            answerWaiting();
        }
    }

    /** Returns the times at which polls and pages arrived. */
    List<Instant> reads() {
        return mReads;
    }

    void begin(StoreTrouble trouble) {
        mTrouble = trouble;
        if (trouble == StoreTrouble.SILENT || trouble == StoreTrouble.SILENT_CONNECTIONS) {
            mWaiting.clear();
        } else if (trouble == StoreTrouble.RESET) {
            failWaiting("reset");
        } else if (trouble == StoreTrouble.BUSY) {
            failWaiting("status 503");
        }
    }

    void end() {
        if (mTrouble == StoreTrouble.HISTORY_DROPPED) {
            mCompacted = mRevision;
            List<Waiting> waiting = List.copyOf(mWaiting);
            mWaiting.clear();
            waiting.forEach(
                    call -> answer(() -> call.reply().accept(new ChangesResult.HistoryLost())));
        }
        mTrouble = null;
    }

    private void failWaiting(String reason) {
        List<Waiting> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(call -> call.reply().accept(new ChangesResult.Unavailable(reason)));
    }

    /** Executes a call of another part, such as the renewal of a lease. */
    void call(Duration limit, Consumer<Boolean> reply) {
        arrive(limit, () -> answer(() -> reply.accept(true)), () -> reply.accept(false));
    }

    void readPage(StoreKey prefix, Duration limit, Consumer<PageResult> reply) {
        mReads.add(mTime.now());
        arrive(
                limit,
                () -> {
                    PageResult page =
                            new PageResult.Page(
                                    under(prefix, Revision.ABSENT), false, new Revision(mRevision));
                    answer(() -> reply.accept(page));
                },
                () -> reply.accept(new PageResult.Unavailable("no answer")));
    }

    void poll(
            StoreKey prefix,
            Revision after,
            Duration wait,
            Duration limit,
            Consumer<ChangesResult> reply) {
        mReads.add(mTime.now());
        Instant giveUpAt = mTime.now().plus(limit);
        boolean[] ended = {false};
        Consumer<ChangesResult> once =
                result -> {
                    if (!ended[0]) {
                        ended[0] = true;
                        reply.accept(result);
                    }
                };
        mTime.after(
                Duration.between(mTime.now(), giveUpAt),
                () -> once.accept(new ChangesResult.Unavailable("no answer")));
        arrive(
                limit,
                () -> {
                    if (after.value() < mCompacted) {
                        answer(() -> once.accept(new ChangesResult.HistoryLost()));
                        return;
                    }
                    Waiting waiting = new Waiting(prefix, after, mTime.now().plus(wait), once);
                    mWaiting.add(waiting);
                    mTime.after(wait, () -> expire(waiting));
                    answerWaiting();
                },
                () -> once.accept(new ChangesResult.Unavailable("no answer")));
    }

    /** Lets a call arrive, or fail by the present trouble. */
    private void arrive(Duration limit, Runnable execute, Runnable fail) {
        mCalls++;
        boolean lost = mTrouble == StoreTrouble.ANSWERS_LOST && mCalls % 2 == 0;
        if (mTrouble == StoreTrouble.SILENT || lost) {
            mTime.after(limit, fail);
        } else if (mTrouble == StoreTrouble.RESET || mTrouble == StoreTrouble.BUSY) {
            mTime.after(LATENCY, fail);
        } else {
            mTime.after(LATENCY, execute);
        }
    }

    private void answer(Runnable reply) {
        boolean slow = mTrouble == StoreTrouble.SLOW;
        mTime.after(slow ? LATENCY.multipliedBy(2 * SLOW_FACTOR) : LATENCY, reply);
    }

    private void expire(Waiting waiting) {
        if (mTrouble != StoreTrouble.HISTORY_DROPPED && mWaiting.remove(waiting)) {
            Revision revision = new Revision(mRevision);
            answer(() -> waiting.reply().accept(new ChangesResult.Changes(List.of(), revision)));
        }
    }

    private void answerWaiting() {
        for (Waiting waiting : List.copyOf(mWaiting)) {
            List<StoreChange> changes = new ArrayList<>();
            under(waiting.prefix(), waiting.after())
                    .forEach(value -> changes.add(new StoreChange.Written(value)));
            if (!changes.isEmpty()) {
                mWaiting.remove(waiting);
                Revision revision = new Revision(mRevision);
                answer(() -> waiting.reply().accept(new ChangesResult.Changes(changes, revision)));
            }
        }
    }

    private List<StoredValue> under(StoreKey prefix, Revision after) {
        List<StoredValue> values = new ArrayList<>();
        for (StoredValue value : mChanges) {
            if (value.key().path().startsWith(prefix.path())
                    && value.revision().compareTo(after) > 0) {
                values.add(value);
            }
        }
        return values;
    }
}
