package org.oleanderspring.core.organisation.query;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.ChangesResult;
import org.oleanderspring.coordination.store.query.PageResult;
import org.oleanderspring.coordination.store.query.StoreChange;
import org.oleanderspring.coordination.watch.WatchOptions;
import org.oleanderspring.coordination.watch.command.DefaultWatchDecider;
import org.oleanderspring.coordination.watch.command.WatchDecision;
import org.oleanderspring.coordination.watch.command.WatchEvent;

/**
 * One daemon, the store and callers in virtual time. A key is taken away at a random time; links to
 * the store are cut, calls and answers are lost or late, other keys change and the daemon freezes.
 */
final class RevocationSimulation {
    static final Duration REVOCATION_LIMIT = Duration.ofSeconds(5);
    static final int END = 60_000;

    private static final StoreKey PREFIX = new StoreKey("/o");
    private static final StoreKey CONFIGURATION = new StoreKey("/op/config");
    private static final StoreKey OTHER = new StoreKey("/oleanderspring/x");

    private record Task(long at, long order, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
        }
    }

    private final SplittableRandom mRandom;
    private final boolean mDisturbed;
    private final PriorityQueue<Task> mTasks = new PriorityQueue<>();
    private final DefaultWatchDecider mDecider;
    private final ConfigurationProof mProof;
    private final Deque<Runnable> mInbox = new ArrayDeque<>();
    private final boolean[] mCut = new boolean[END + 1];
    private final long mRevokedAt;
    private long mNow;
    private long mSlowMillis;
    private long mTaskCount;
    private long mRevision = 1;
    private long mConfigurationRevision = 1;
    private long mOtherRevision;
    private long mFrozenUntil;
    private long mWakeAt = -1;
    private boolean mKeyIsKnown;

    /** The number of requests that were accepted though their key was gone for too long. */
    int mAcceptedTooLate;

    int mAccepted;
    int mUnverified;
    long mOldestProof;

    /**
     * @param seed decides about everything that is random
     * @param isDisturbed whether there are cuts, freezes, losses and delays
     * @param limit the revocation limit that the daemon applies, or null to apply none
     */
    RevocationSimulation(long seed, boolean isDisturbed, @Nullable Duration limit) {
        mRandom = new SplittableRandom(seed);
        mDisturbed = isDisturbed;
        mDecider =
                new DefaultWatchDecider(
                        new WatchOptions(
                                Duration.ofSeconds(4), Duration.ofMillis(800), 6_000, limit),
                        mRandom.split());
        mProof = new ConfigurationProof(limit);
        mRevokedAt = 5_000 + mRandom.nextInt(40_000);
    }

    /**
     * Makes each message take longer.
     *
     * @param millis the additional time
     */
    void slow(long millis) {
        mSlowMillis = millis;
    }

    void run() {
        at(mRevokedAt, () -> mConfigurationRevision = ++mRevision);
        for (int at = 0; at < END; at += 1 + mRandom.nextInt(2_500)) {
            at(at, () -> mOtherRevision = ++mRevision);
        }
        for (int at = 0; at < END; at += 1 + mRandom.nextInt(60)) {
            long sentAt = at;
            at(at + delay(0.02), () -> deliver(() -> request(sentAt)));
        }
        if (mDisturbed) {
            planDisturbances();
        }
        deliver(() -> handle(new WatchEvent.PrefixFollowed(PREFIX)));
        while (!mTasks.isEmpty() && mTasks.peek().at() < END) {
            Task task = mTasks.remove();
            mNow = task.at();
            task.action().run();
        }
    }

    private void planDisturbances() {
        for (int at = 0; at < END; at += 1 + mRandom.nextInt(25_000)) {
            int end = Math.min(END, at + mRandom.nextInt(12_000));
            for (int cut = at; cut < end; cut++) {
                mCut[cut] = true;
            }
            at = end;
        }
        for (int at = 0; at < END; at += 1 + mRandom.nextInt(20_000)) {
            long until = at + mRandom.nextInt(9_000);
            at(at, () -> mFrozenUntil = Math.max(mFrozenUntil, until));
            at(until, this::thaw);
        }
    }

    private void at(long at, Runnable action) {
        mTasks.add(new Task(Math.max(at, mNow), mTaskCount++, action));
    }

    /** Returns the time on a link: some milliseconds, at times seconds. */
    private long delay(double lateShare) {
        boolean isLate = mDisturbed && mRandom.nextDouble() < lateShare;
        return mSlowMillis + 1 + mRandom.nextInt(isLate ? 4_000 : 4);
    }

    /** Runs an action of the daemon, after its freeze if it is frozen. */
    private void deliver(Runnable action) {
        if (mNow < mFrozenUntil) {
            mInbox.add(action);
        } else {
            action.run();
        }
    }

    /** What arrived during a freeze is handled in any order, because threads take turns. */
    private void thaw() {
        while (mNow >= mFrozenUntil && !mInbox.isEmpty()) {
            if (mRandom.nextBoolean()) {
                mInbox.add(mInbox.remove());
            }
            mInbox.remove().run();
        }
    }

    private Instant now() {
        return Instant.ofEpochMilli(mNow);
    }

    private void request(long sentAt) {
        mProof.age(now()).ifPresent(age -> mOldestProof = Math.max(mOldestProof, age.toMillis()));
        if (!mProof.isValid(now())) {
            mUnverified++;
        } else if (mKeyIsKnown) {
            mAccepted++;
            if (sentAt > mRevokedAt + REVOCATION_LIMIT.toMillis()) {
                mAcceptedTooLate++;
            }
        }
    }

    private void handle(WatchEvent event) {
        for (WatchDecision decision : mDecider.decide(event, now())) {
            execute(decision);
        }
        mDecider.nextWake()
                .ifPresent(
                        wake -> {
                            long at = Math.max(mNow, wake.toEpochMilli() + 1);
                            if (mWakeAt <= mNow || at < mWakeAt) {
                                mWakeAt = at;
                                at(at, () -> deliver(() -> handle(new WatchEvent.TimerFired())));
                            }
                        });
    }

    private void execute(WatchDecision decision) {
        if (decision instanceof WatchDecision.ReadPage read) {
            transmit(
                    () ->
                            answer(
                                    new WatchEvent.PageReceived(
                                            read.call(),
                                            new PageResult.Page(
                                                    List.of(configuration()),
                                                    false,
                                                    new Revision(mRevision)))));
        } else if (decision instanceof WatchDecision.Poll poll) {
            transmit(() -> poll(poll, mNow + poll.longestWait().toMillis()));
        } else if (decision instanceof WatchDecision.PublishValues publish) {
            publish.values().forEach(this::apply);
        } else if (decision instanceof WatchDecision.PublishChanges publish) {
            publish.changes().forEach(next -> apply(((StoreChange.Written) next).value()));
        } else if (decision instanceof WatchDecision.ReportConfirmation report) {
            mProof.proven(report.provenAt());
        }
    }

    private void apply(StoredValue value) {
        if (value.key().equals(CONFIGURATION)) {
            mKeyIsKnown = value.revision().value() == 1;
        }
    }

    private void answer(WatchEvent event) {
        transmit(() -> deliver(() -> handle(event)));
    }

    /** A cut or lossy link loses the message. */
    private void transmit(Runnable atReceiver) {
        boolean isLost = mCut[(int) mNow] || mDisturbed && mRandom.nextDouble() < 0.05;
        if (!isLost) {
            at(mNow + delay(0.1), atReceiver);
        }
    }

    private StoredValue configuration() {
        return new StoredValue(CONFIGURATION, new byte[0], new Revision(mConfigurationRevision));
    }

    /** Looks for changes every millisecond until the wait is over. */
    private void poll(WatchDecision.Poll poll, long until) {
        long after = poll.after().value();
        if (mRevision <= after && mNow < until) {
            at(mNow + 1, () -> poll(poll, until));
            return;
        }
        List<StoreChange> changes = new ArrayList<>();
        if (mConfigurationRevision > after) {
            changes.add(new StoreChange.Written(configuration()));
        }
        if (mOtherRevision > after) {
            changes.add(
                    new StoreChange.Written(
                            new StoredValue(OTHER, new byte[0], new Revision(mOtherRevision))));
        }
        answer(
                new WatchEvent.ChangesReceived(
                        poll.call(), new ChangesResult.Changes(changes, new Revision(mRevision))));
    }
}
