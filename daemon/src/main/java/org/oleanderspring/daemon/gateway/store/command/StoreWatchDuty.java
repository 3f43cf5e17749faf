package org.oleanderspring.daemon.gateway.store.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.query.PrefixListener;
import org.oleanderspring.coordination.store.query.PrefixQueries;
import org.oleanderspring.coordination.watch.command.DefaultWatchDecider;
import org.oleanderspring.coordination.watch.command.WatchDecision;
import org.oleanderspring.coordination.watch.command.WatchEvent;
import org.oleanderspring.daemon.process.SuspendAwareClock;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.duty.command.EventSink;

/**
 * Follows prefixes of the key-value service and passes their values on to listeners. All state
 * belongs to the duty's thread.
 *
 * <p>The clock counts the time in which the VM was suspended, so that a call from before is given
 * up at once if its answer may be lost.
 */
public final class StoreWatchDuty implements EventHandler<WatchEvent> {
    private final DefaultWatchDecider mDecider;
    private final PrefixQueries mQueries;
    private final Map<StoreKey, PrefixListener> mListeners;
    private final StoreWatchMeters mMeters;
    private final SuspendAwareClock mClock;
    private final DutyTimer mTimer;
    private final EventSink<WatchEvent> mOwnRing;

    /** When the next timer event arrives; long past if none is scheduled. */
    private Instant mWakeAt = Instant.MIN;

    /**
     * Creates the duty. The events that name the prefixes to follow are to be offered to its ring.
     *
     * @param decider decides on the calls
     * @param queries calls the key-value service
     * @param listeners receive the values of the prefixes on the duty's thread; must not block
     * @param meters the metrics
     * @param clock gives the time of each event; used by this duty only
     * @param timer delivers delayed events to the ring
     * @param ownRing the ring of this duty
     */
    public StoreWatchDuty(
            DefaultWatchDecider decider,
            PrefixQueries queries,
            Map<StoreKey, PrefixListener> listeners,
            StoreWatchMeters meters,
            SuspendAwareClock clock,
            DutyTimer timer,
            EventSink<WatchEvent> ownRing) {
        mDecider = decider;
        mQueries = queries;
        mListeners = Map.copyOf(listeners);
        mMeters = meters;
        mClock = clock;
        mTimer = timer;
        mOwnRing = ownRing;
    }

    @Override
    public void handle(WatchEvent event) {
        Instant now = mClock.now();
        for (WatchDecision decision : mDecider.decide(event, now)) {
            execute(decision);
        }
        mMeters.update(mDecider.watches(now));
        mDecider.nextWake().ifPresent(wake -> scheduleWake(wake, now));
    }

    private void execute(WatchDecision decision) {
        if (decision instanceof WatchDecision.ReadPage read) {
            mQueries.readPage(read.prefix(), read.after(), read.limit())
                    .thenAccept(
                            result ->
                                    mOwnRing.offer(
                                            new WatchEvent.PageReceived(read.call(), result)));
        } else if (decision instanceof WatchDecision.Poll poll) {
            mQueries.poll(poll.prefix(), poll.after(), poll.longestWait(), poll.limit())
                    .thenAccept(
                            result ->
                                    mOwnRing.offer(
                                            new WatchEvent.ChangesReceived(poll.call(), result)));
        } else if (decision instanceof WatchDecision.PublishValues publish) {
            listener(publish.prefix()).listed(publish.values());
        } else if (decision instanceof WatchDecision.PublishChanges publish) {
            listener(publish.prefix()).changed(publish.changes());
        } else if (decision instanceof WatchDecision.ReportInterruption report) {
            listener(report.prefix()).interrupted(report.reason());
        } else if (decision instanceof WatchDecision.ReportRestoration report) {
            mMeters.era(report.era());
            listener(report.prefix()).restored(report.era());
        } else if (decision instanceof WatchDecision.ReportResumption report) {
            listener(report.prefix()).resumed(report.outdatedFor());
        } else if (decision instanceof WatchDecision.ReportConfirmation report) {
            listener(report.prefix()).confirmed(report.provenAt());
        }
    }

    private PrefixListener listener(StoreKey prefix) {
        PrefixListener listener = mListeners.get(prefix);
        if (listener == null) {
            throw new IllegalStateException("followed without a listener: " + prefix);
        }
        return listener;
    }

    /** Schedules a timer event unless one comes in time. */
    private void scheduleWake(Instant wake, Instant now) {
        boolean comesInTime = mWakeAt.isAfter(now) && !mWakeAt.isAfter(wake);
        if (comesInTime) {
            return;
        }
        Duration delay = Duration.between(now, wake);
        mWakeAt = wake;
        mTimer.schedule(
                delay.isNegative() ? Duration.ZERO : delay, mOwnRing, new WatchEvent.TimerFired());
    }
}
