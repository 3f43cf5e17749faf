package org.oleanderspring.coordination.watch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.oleanderspring.coordination.fake.VirtualTime;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.StoreChange;
import org.oleanderspring.coordination.watch.command.DefaultWatchDecider;
import org.oleanderspring.coordination.watch.command.WatchDecision;
import org.oleanderspring.coordination.watch.command.WatchEvent;

/** A daemon in virtual time: two watches, and a lease whose renewals are other calls. */
final class SimulatedWatcher {
    static final StoreKey CONFIGURATION = new StoreKey("/o");
    static final StoreKey RUNNERS = new StoreKey("/servers/");

    private static final Duration RENEWAL_PERIOD = Duration.ofSeconds(1);
    private static final Duration RENEWAL_LIMIT = Duration.ofMillis(800);
    private static final Duration RENEWAL_RETRY = Duration.ofMillis(200);

    private final VirtualTime mTime;
    private final SimulatedStore mStore;
    private final DefaultWatchDecider mDecider;
    private final Map<StoreKey, Instant> mSeen = new HashMap<>();
    private final Deque<WatchEvent> mInbox = new ArrayDeque<>();
    private boolean mSuspended;
    private Instant mWakeAt = Instant.MIN;

    SimulatedWatcher(VirtualTime time, SimulatedStore store, WatchOptions options, long seed) {
        mTime = time;
        mStore = store;
        mDecider = new DefaultWatchDecider(options, new SplittableRandom(seed));
    }

    void start(Duration runnerPause, int daemons) {
        handle(new WatchEvent.DaemonsCounted(daemons));
        handle(new WatchEvent.PauseChanged(RUNNERS, runnerPause));
        handle(new WatchEvent.PrefixFollowed(CONFIGURATION));
        handle(new WatchEvent.PrefixFollowed(RUNNERS));
    }

    /** Begins to renew a lease. */
    void startRenewals() {
        mStore.call(
                RENEWAL_LIMIT,
                answered -> {
                    handle(
                            answered
                                    ? new WatchEvent.StoreAnswered()
                                    : new WatchEvent.StoreFailed("no answer"));
                    mTime.after(answered ? RENEWAL_PERIOD : RENEWAL_RETRY, this::startRenewals);
                });
    }

    /** Events that arrive while the daemon is suspended are handled when it resumes. */
    void suspended(boolean suspended) {
        mSuspended = suspended;
        while (!mSuspended && !mInbox.isEmpty()) {
            handle(mInbox.remove());
        }
    }

    /** Returns when a key was seen first. */
    Instant seenAt(StoreKey key) {
        return mSeen.getOrDefault(key, Instant.MAX);
    }

    private void handle(WatchEvent event) {
        if (mSuspended) {
            mInbox.add(event);
            return;
        }
        for (WatchDecision decision : mDecider.decide(event, mTime.now())) {
            execute(decision);
        }
        mDecider.nextWake().ifPresent(this::scheduleWake);
    }

    private void scheduleWake(Instant wake) {
        Instant now = mTime.now();
        if (mWakeAt.isAfter(now) && !mWakeAt.isAfter(wake)) {
            return;
        }
        mWakeAt = wake;
        Duration delay = Duration.between(now, wake);
        mTime.after(
                delay.isNegative() ? Duration.ZERO : delay,
                () -> handle(new WatchEvent.TimerFired()));
    }

    private void execute(WatchDecision decision) {
        if (decision instanceof WatchDecision.ReadPage read) {
            mStore.readPage(
                    read.prefix(),
                    read.limit(),
                    result -> handle(new WatchEvent.PageReceived(read.call(), result)));
        } else if (decision instanceof WatchDecision.Poll poll) {
            mStore.poll(
                    poll.prefix(),
                    poll.after(),
                    poll.longestWait(),
                    poll.limit(),
                    result -> handle(new WatchEvent.ChangesReceived(poll.call(), result)));
        } else if (decision instanceof WatchDecision.PublishValues publish) {
            publish.values().forEach(this::see);
        } else if (decision instanceof WatchDecision.PublishChanges publish) {
            for (StoreChange change : publish.changes()) {
                if (change instanceof StoreChange.Written written) {
                    see(written.value());
                }
            }
        }
    }

    private void see(StoredValue value) {
        mSeen.putIfAbsent(value.key(), mTime.now());
    }
}
