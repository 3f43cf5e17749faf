package org.oleanderspring.coordination.watch.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.ChangesResult;
import org.oleanderspring.coordination.store.query.PageResult;
import org.oleanderspring.coordination.watch.WatchOptions;

/**
 * The watch of one key prefix: lists the values and then polls for changes, each time after the
 * revision of the previous answer.
 *
 * <p>The pages of a list are read one after the other and are not a consistent snapshot. The watch
 * continues from the revision of the first page, so a change between two pages is reported again by
 * the polls, and none is missed. If the service no longer has the history since the last revision,
 * the values are listed again.
 *
 * <p>At most one call is pending. The answer to a call that was given up has another identity than
 * the pending one and is ignored.
 */
final class FollowedPrefix {
    /** The time within which the end of a call that has reached its limit is reported. */
    private static final Duration REPORT_SLACK = Duration.ofMillis(100);

    /**
     * After this time without any answer, values may be missing because their writers could not
     * renew their leases. Shorter than the time in which an entry can lapse.
     */
    private static final Duration LAPSE_TIME = Duration.ofSeconds(1);

    /**
     * The time in which the answer with a change arrives that another daemon has already seen. Its
     * message may overtake the answer.
     */
    private static final Duration REPORTED_CHANGE_SLACK = Duration.ofMillis(150);

    private static final int WAIT_RESERVE = 20;

    private final StoreKey mPrefix;
    private final WatchOptions mOptions;
    private final RetryDelay mRetryDelay;
    private final List<StoredValue> mPages = new ArrayList<>();

    /** The revision after which changes are polled, or null while the values are listed. */
    private @Nullable Revision mRevision;

    private @Nullable Revision mFirstPageRevision;
    private @Nullable Instant mFirstPageAt;
    private @Nullable PendingCall mPending;
    private Instant mNextCallAt = Instant.MIN;
    private Duration mPause;
    private boolean mInPause;
    private boolean mInterrupted;
    private Instant mAnsweredAt;

    /** The latest change that another daemon reported, and when its answer is overdue here. */
    private Revision mReportedChange = Revision.ABSENT;

    private Instant mReportedChangeOverdueAt = Instant.MAX;

    FollowedPrefix(
            StoreKey prefix,
            WatchOptions options,
            Duration pause,
            RandomGenerator random,
            Instant now) {
        mPrefix = prefix;
        mOptions = options;
        mPause = pause;
        mRetryDelay = new RetryDelay(options.longestRetryDelay(), random);
        mAnsweredAt = now;
    }

    StoreKey prefix() {
        return mPrefix;
    }

    boolean isPending() {
        return mPending != null;
    }

    /** Returns whether the pending call, if any, was sent while the contact was in doubt. */
    boolean isProbing() {
        return mPending != null && mPending.isProbe();
    }

    boolean isPending(StoreOperationId call) {
        return mPending != null && mPending.id().equals(call);
    }

    /** Returns the time since the last answer to this watch. */
    Duration age(Instant now) {
        return Duration.between(mAnsweredAt, now);
    }

    /** Sets the pause after a batch of changes and ends the present one. */
    void pause(Duration pause, Instant now) {
        mPause = pause;
        if (mInPause) {
            mInPause = false;
            mNextCallAt = now;
        }
    }

    /** Records a change that another daemon has seen. */
    void changeReported(Revision revision, Instant now) {
        if (revision.compareTo(mReportedChange) > 0) {
            mReportedChange = revision;
            mReportedChangeOverdueAt = now.plus(REPORTED_CHANGE_SLACK);
        }
    }

    /** Returns whether the pending call, if any, will not be answered. */
    boolean isOverdue(Instant now) {
        return mPending != null && !now.isBefore(mPending.giveUpAt());
    }

    /**
     * Returns whether the pending poll was sent before a change that another daemon has seen, and
     * has not been answered with it.
     */
    boolean lacksReportedChange(Instant now) {
        return mPending != null
                && awaitsReportedChange(mPending)
                && !now.isBefore(mReportedChangeOverdueAt);
    }

    private boolean awaitsReportedChange(PendingCall pending) {
        return mRevision != null
                && mReportedChange.compareTo(mRevision) > 0
                && pending.sentAt().isBefore(mReportedChangeOverdueAt);
    }

    /** Gives the pending call up and calls again now. */
    void callAgain(Instant now) {
        mPending = null;
        mInPause = false;
        mNextCallAt = now;
        mPages.clear();
        mFirstPageRevision = null;
    }

    /** Returns whether the next page, if one is received, is the first one of a list. */
    boolean awaitsFirstPage() {
        return mRevision == null && mPages.isEmpty();
    }

    /**
     * Lists the values again, because the key-value service has come back from a copy. A pending
     * call for the first page stays pending.
     *
     * @param callAt when to call
     */
    void restored(Instant callAt) {
        if (awaitsFirstPage()) {
            return;
        }
        callAgain(callAt);
        mRevision = null;
    }

    /** Returns whether a call is due. */
    boolean isDue(Instant now) {
        return mPending == null && !now.isBefore(mNextCallAt);
    }

    /**
     * Returns the next call and records it as sent.
     *
     * @param call the identity of the call
     * @param probes whether the service must not delay its answer, because it may not answer at all
     */
    WatchDecision call(StoreOperationId call, boolean probes, Instant now) {
        mInPause = false;
        Revision revision = mRevision;
        boolean waits = revision != null && !probes;
        Duration limit = waits ? mOptions.pollLimit() : mOptions.answerLimit();
        Duration wait = waits ? mOptions.pollWait() : Duration.ZERO;
        mPending = new PendingCall(call, now, now.plus(limit).plus(REPORT_SLACK), probes, wait);
        if (revision == null) {
            return new WatchDecision.ReadPage(call, mPrefix, lastKey(), limit);
        }
        return new WatchDecision.Poll(call, mPrefix, revision, wait, limit);
    }

    private @Nullable StoreKey lastKey() {
        return mPages.isEmpty() ? null : mPages.get(mPages.size() - 1).key();
    }

    /** Processes a page. */
    void received(PageResult.Page page, Instant now, List<WatchDecision> decisions) {
        PendingCall call = mPending;
        answered(now, decisions);
        mPages.addAll(page.values());
        if (mFirstPageRevision == null) {
            mFirstPageRevision = page.revision();
            mFirstPageAt = call == null ? null : call.sentAt();
        }
        if (page.hasMore() && !mPages.isEmpty()) {
            return;
        }
        decisions.add(new WatchDecision.PublishValues(mPrefix, mPages));
        if (mFirstPageAt != null && mOptions.proofLimit() != null) {
            // A change after the first page is missing if it belongs to an earlier page.
            decisions.add(new WatchDecision.ReportConfirmation(mPrefix, mFirstPageAt));
        }
        mRevision = mFirstPageRevision;
        mFirstPageRevision = null;
        mPages.clear();
    }

    /** Processes the answer to a poll. */
    void received(ChangesResult.Changes changes, Instant now, List<WatchDecision> decisions) {
        PendingCall call = mPending;
        answered(now, decisions);
        mRevision = changes.revision();
        if (!changes.changes().isEmpty()) {
            decisions.add(new WatchDecision.PublishChanges(mPrefix, changes.changes()));
        }
        if (call != null && mOptions.proofLimit() != null) {
            decisions.add(new WatchDecision.ReportConfirmation(mPrefix, proof(call, changes, now)));
        }
        if (changes.changes().isEmpty()) {
            return;
        }
        mInPause = true;
        mNextCallAt = now.plus(mPause);
    }

    /**
     * Returns a time up to which an answer reports all changes. The service may have made the
     * answer when the call arrived, and the answer may have been on its way ever since. Only if
     * there is no change has the service waited before it answered; a twentieth of the wait is not
     * counted on, because its timer may end sooner.
     */
    private static Instant proof(PendingCall call, ChangesResult.Changes changes, Instant now) {
        boolean hasWaited =
                changes.changes().isEmpty()
                        && !now.isBefore(call.sentAt().plus(call.longestWait()));
        return hasWaited
                ? call.sentAt()
                        .plus(call.longestWait().minus(call.longestWait().dividedBy(WAIT_RESERVE)))
                : call.sentAt();
    }

    /** Lists the values again. */
    void historyLost(Instant now) {
        callAgain(now);
        mRevision = null;
    }

    private void answered(Instant now, List<WatchDecision> decisions) {
        mPending = null;
        mNextCallAt = now;
        mRetryDelay.reset();
        if (mInterrupted) {
            mInterrupted = false;
            decisions.add(new WatchDecision.ReportResumption(mPrefix, age(now)));
        }
        mAnsweredAt = now;
    }

    /**
     * Processes the failure of the pending call. The delay of the next one counts from the time at
     * which this one was sent, because a call that gets no answer has waited for its limit already.
     *
     * @return the time of the next call
     */
    Instant failed(String reason, Instant now, List<WatchDecision> decisions) {
        Instant sentAt = mPending == null ? now : mPending.sentAt();
        Instant retryAt = sentAt.plus(mRetryDelay.next());
        callAgain(retryAt.isAfter(now) ? retryAt : now);
        interrupt(reason, decisions);
        return mNextCallAt;
    }

    /** Processes an answer to the pending call that cannot be read; lists the values anew. */
    void unreadable(String reason, Instant now, List<WatchDecision> decisions) {
        failed(reason, now, decisions);
        mRevision = null;
    }

    /**
     * Reports an interruption if the service has answered no call for so long that values may be
     * missing only because their writers could not renew their leases.
     *
     * @param silence the time for which the service answered no call of the daemon
     */
    void expectLapses(Duration silence, List<WatchDecision> decisions) {
        if (silence.compareTo(LAPSE_TIME) >= 0) {
            interrupt("no answer to any call for " + silence.toMillis() + " ms", decisions);
        }
    }

    /**
     * Calls again because the service answers again; the answer to a call from before may never
     * arrive. A pause goes on.
     *
     * @param callAt when to call
     */
    void contactRegained(Instant callAt) {
        if (mPending != null || !mInPause) {
            callAgain(callAt);
        }
    }

    private void interrupt(String reason, List<WatchDecision> decisions) {
        if (!mInterrupted) {
            mInterrupted = true;
            decisions.add(new WatchDecision.ReportInterruption(mPrefix, reason));
        }
    }

    /** Returns the next time at which the watch has something to do. */
    Instant nextWake() {
        PendingCall pending = mPending;
        if (pending == null) {
            return mNextCallAt;
        }
        return awaitsReportedChange(pending)
                        && mReportedChangeOverdueAt.isBefore(pending.giveUpAt())
                ? mReportedChangeOverdueAt
                : pending.giveUpAt();
    }
}
