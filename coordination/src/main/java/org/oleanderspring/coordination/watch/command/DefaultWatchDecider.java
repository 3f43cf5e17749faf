package org.oleanderspring.coordination.watch.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.ObservedEra;
import org.oleanderspring.coordination.store.query.ChangesResult;
import org.oleanderspring.coordination.store.query.PageResult;
import org.oleanderspring.coordination.watch.WatchOptions;
import org.oleanderspring.coordination.watch.query.WatchQueries;
import org.oleanderspring.coordination.watch.query.WatchStatus;

/**
 * Follows key prefixes and notices within the settle limit that the key-value service answers again
 * after a disturbance.
 *
 * <p>A poll that begins while the service is silent, or whose connection becomes silent, gets no
 * answer even after the service has returned. Waiting for its limit would leave the daemon with
 * outdated values although its other calls are answered. Three things end such a poll sooner:
 *
 * <ul>
 *   <li>While the contact is in doubt, a poll is a probe: the service must answer it at once.
 *   <li>When any call of the daemon is answered after another one failed, all watches call again.
 *   <li>When another daemon has seen a change after the revision of a pending poll, that poll is
 *       sent again.
 * </ul>
 *
 * <p>When the key-value service comes back from a copy, a poll after a revision of the earlier era
 * is meaningless even if it is answered, because the service gives its revisions out again. All
 * prefixes are then listed again. An answer of an earlier era counts as a failed call.
 *
 * <p>The limit of a poll covers what none of these shows, such as a single silent connection. See
 * {@link WatchOptions} for the bound that follows.
 */
public final class DefaultWatchDecider implements WatchDecider, WatchQueries {
    /** The pause after a batch of changes until another one is set; collects quick changes. */
    public static final Duration DEFAULT_PAUSE = Duration.ofMillis(60);

    private static final String EARLIER_ERA =
            "an answer of an earlier era of the key-value service";

    private final WatchOptions mOptions;
    private final RandomGenerator mRandom;
    private final StoreContact mContact = new StoreContact();
    private final ObservedEra mEra = new ObservedEra();
    private final Map<StoreKey, FollowedPrefix> mWatches = new LinkedHashMap<>();

    /** The pauses of prefixes, whether they are followed yet or not. */
    private final Map<StoreKey, Duration> mPauses = new HashMap<>();

    private long mLastCall;
    private int mDaemons = 1;

    /**
     * Creates a decider that follows nothing.
     *
     * @param options the bounds
     * @param random the source of random numbers
     */
    public DefaultWatchDecider(WatchOptions options, RandomGenerator random) {
        mOptions = options;
        mRandom = random;
    }

    @Override
    public List<WatchDecision> decide(WatchEvent event, Instant now) {
        List<WatchDecision> decisions = new ArrayList<>();
        apply(event, now, decisions);
        for (FollowedPrefix watch : mWatches.values()) {
            giveUpPendingCall(watch, now, decisions);
        }
        for (FollowedPrefix watch : mWatches.values()) {
            callIfDue(watch, now, decisions);
        }
        return decisions;
    }

    private void apply(WatchEvent event, Instant now, List<WatchDecision> decisions) {
        if (event instanceof WatchEvent.PrefixFollowed followed) {
            mWatches.computeIfAbsent(followed.prefix(), prefix -> newWatch(prefix, now));
        } else if (event instanceof WatchEvent.PageReceived received) {
            pageReceived(received, now, decisions);
        } else if (event instanceof WatchEvent.ChangesReceived received) {
            changesReceived(received, now, decisions);
        } else if (event instanceof WatchEvent.StoreAnswered other) {
            if (isCurrent(other.era(), null, now, decisions)) {
                answered(null, now, decisions);
            }
        } else if (event instanceof WatchEvent.StoreFailed) {
            mContact.otherCallFailed();
        } else if (event instanceof WatchEvent.PauseChanged changed) {
            mPauses.put(changed.prefix(), changed.pause());
            FollowedPrefix watch = mWatches.get(changed.prefix());
            if (watch != null) {
                watch.pause(changed.pause(), now);
            }
        } else if (event instanceof WatchEvent.ChangeReported reported) {
            FollowedPrefix watch = mWatches.get(reported.prefix());
            if (watch != null) {
                watch.changeReported(reported.revision(), now);
            }
        } else if (event instanceof WatchEvent.DaemonsCounted counted) {
            mDaemons = counted.daemons();
        }
    }

    private FollowedPrefix newWatch(StoreKey prefix, Instant now) {
        Duration pause = mPauses.getOrDefault(prefix, DEFAULT_PAUSE);
        return new FollowedPrefix(prefix, mOptions, pause, mRandom, now);
    }

    private void pageReceived(
            WatchEvent.PageReceived received, Instant now, List<WatchDecision> decisions) {
        FollowedPrefix watch = watchOf(received.call());
        if (watch == null) {
            return;
        }
        if (received.result() instanceof PageResult.Unavailable unavailable) {
            failed(watch, unavailable.reason(), now, decisions);
            return;
        }
        boolean isFirstPage = watch.awaitsFirstPage();
        StoreEra before = mEra.era();
        if (!isCurrent(received.result().answeredIn(), watch, now, decisions)) {
            failed(watch, EARLIER_ERA, now, decisions);
            return;
        }
        answered(watch, now, decisions);
        if (!isFirstPage && !mEra.era().equals(before)) {
            return;
        }
        if (received.result() instanceof PageResult.Page page) {
            watch.received(page, now, decisions);
        } else if (received.result() instanceof PageResult.Unreadable unreadable) {
            watch.unreadable(unreadable.reason(), now, decisions);
        }
    }

    private void changesReceived(
            WatchEvent.ChangesReceived received, Instant now, List<WatchDecision> decisions) {
        FollowedPrefix watch = watchOf(received.call());
        if (watch == null) {
            return;
        }
        if (received.result() instanceof ChangesResult.Unavailable unavailable) {
            failed(watch, unavailable.reason(), now, decisions);
            return;
        }
        StoreEra before = mEra.era();
        if (!isCurrent(received.result().answeredIn(), watch, now, decisions)) {
            failed(watch, EARLIER_ERA, now, decisions);
            return;
        }
        answered(watch, now, decisions);
        if (!mEra.era().equals(before)) {
            return;
        }
        if (received.result() instanceof ChangesResult.Changes changes) {
            watch.received(changes, now, decisions);
        } else if (received.result() instanceof ChangesResult.HistoryLost) {
            watch.historyLost(now);
        } else if (received.result() instanceof ChangesResult.Unreadable unreadable) {
            watch.unreadable(unreadable.reason(), now, decisions);
        }
    }

    /**
     * Records the era of an answer, and lists all prefixes again if it has risen. The lists are
     * spread over the time in which all daemons list again.
     *
     * @param era the era, or null if the answer names none
     * @param source the watch that was answered, or null; it calls again at once
     * @return whether the answer is not of an earlier era
     */
    private boolean isCurrent(
            @Nullable StoreEra era,
            @Nullable FollowedPrefix source,
            Instant now,
            List<WatchDecision> decisions) {
        ObservedEra.Observation observation =
                era == null ? ObservedEra.Observation.CURRENT : mEra.observe(era);
        if (observation == ObservedEra.Observation.RISEN) {
            Duration spread = mOptions.returnSpread(mDaemons, mWatches.size());
            for (FollowedPrefix watch : mWatches.values()) {
                long delay = (long) (spread.toNanos() * mRandom.nextDouble());
                watch.restored(watch == source ? now : now.plusNanos(delay));
                decisions.add(new WatchDecision.ReportRestoration(watch.prefix(), mEra.era()));
            }
        }
        return observation != ObservedEra.Observation.STALE;
    }

    private @Nullable FollowedPrefix watchOf(StoreOperationId call) {
        for (FollowedPrefix watch : mWatches.values()) {
            if (watch.isPending(call)) {
                return watch;
            }
        }
        return null;
    }

    private void failed(
            FollowedPrefix watch, String reason, Instant now, List<WatchDecision> decisions) {
        mContact.watchCallFailed(watch.failed(reason, now, decisions));
    }

    /**
     * Records an answer to a call. After a doubt, all watches call again, except for the one whose
     * call was answered.
     *
     * @param source that watch, or null if the call was none of a watch
     */
    private void answered(
            @Nullable FollowedPrefix source, Instant now, List<WatchDecision> decisions) {
        Duration silence = mContact.answered(now);
        if (silence == null) {
            return;
        }
        Duration spread = mOptions.returnSpread(mDaemons, mWatches.size());
        for (FollowedPrefix watch : mWatches.values()) {
            watch.expectLapses(silence, decisions);
            if (watch != source) {
                long delay = (long) (spread.toNanos() * mRandom.nextDouble());
                watch.contactRegained(now.plusNanos(delay));
            }
        }
    }

    private void giveUpPendingCall(
            FollowedPrefix watch, Instant now, List<WatchDecision> decisions) {
        if (watch.isOverdue(now)) {
            failed(watch, "no answer within the limit of the call", now, decisions);
        } else if (watch.lacksReportedChange(now)) {
            watch.callAgain(now);
        }
    }

    private void callIfDue(FollowedPrefix watch, Instant now, List<WatchDecision> decisions) {
        if (!watch.isDue(now) || now.isBefore(mContact.nextProbeAt()) || isProbing()) {
            return;
        }
        mLastCall++;
        decisions.add(watch.call(new StoreOperationId(mLastCall), mContact.isInDoubt(), now));
    }

    /** Returns whether a call is pending that will show whether the service answers. */
    private boolean isProbing() {
        for (FollowedPrefix watch : mWatches.values()) {
            if (watch.isProbing()) {
                return true;
            }
        }
        return false;
    }

    @Override
    public Optional<Instant> nextWake() {
        Instant next = Instant.MAX;
        boolean isProbing = isProbing();
        for (FollowedPrefix watch : mWatches.values()) {
            if (watch.isPending()) {
                next = earlier(next, watch.nextWake());
            } else if (!isProbing) {
                next = earlier(next, later(watch.nextWake(), mContact.nextProbeAt()));
            }
        }
        return next.equals(Instant.MAX) ? Optional.empty() : Optional.of(next);
    }

    private static Instant earlier(Instant first, Instant second) {
        return first.isBefore(second) ? first : second;
    }

    private static Instant later(Instant first, Instant second) {
        return first.isAfter(second) ? first : second;
    }

    @Override
    public List<WatchStatus> watches(Instant now) {
        List<WatchStatus> watches = new ArrayList<>();
        for (FollowedPrefix watch : mWatches.values()) {
            watches.add(new WatchStatus(watch.prefix(), watch.age(now)));
        }
        return watches;
    }
}
