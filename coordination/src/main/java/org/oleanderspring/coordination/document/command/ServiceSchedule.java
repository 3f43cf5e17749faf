package org.oleanderspring.coordination.document.command;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Schedules the reads, the watch and the write-backs of one document at the key-value service.
 *
 * <p>Every start of a watch is delayed at random, and every retry with randomized exponential
 * backoff. After an outage the reads of all watchers are therefore spread over the longest delay.
 * Members that are not watchers read at most once per {@link #FALLBACK_READ_PERIOD}.
 */
final class ServiceSchedule {
    static final Duration FALLBACK_READ_PERIOD = Duration.ofSeconds(30);

    private static final Duration MAX_START_DELAY = Duration.ofSeconds(2);
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(8);
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_BACKOFF_SHIFT = 3;

    private final RandomGenerator mRandom;
    private boolean mWatcher;
    private boolean mWatching;
    private @Nullable Instant mWatchDue;
    private @Nullable Instant mReadDue;
    private @Nullable Instant mReadSentAt;
    private long mReadId;
    private @Nullable Instant mWriteBackSentAt;
    private @Nullable Instant mFallbackReadAt;
    private int mFailures;

    ServiceSchedule(RandomGenerator random) {
        mRandom = random;
    }

    boolean isWatcher() {
        return mWatcher;
    }

    /** Sets whether this member is a watcher; returns whether a running watch has to be stopped. */
    boolean setWatcher(boolean watcher, Instant now) {
        if (watcher == mWatcher) {
            return false;
        }
        mWatcher = watcher;
        if (watcher) {
            mWatchDue = now.plus(randomUpTo(MAX_START_DELAY));
            return false;
        }
        boolean stop = mWatching;
        mWatching = false;
        mWatchDue = null;
        mReadDue = null;
        return stop;
    }

    /** Returns whether the watch has to be started now; if so, it is marked as started. */
    boolean takeWatchStart(Instant now) {
        if (mWatchDue == null || now.isBefore(mWatchDue)) {
            return false;
        }
        mWatchDue = null;
        mWatching = true;
        scheduleRead(now);
        return true;
    }

    /** Schedules the next start after a watch has failed. */
    void watchFailed(Instant now) {
        mWatching = false;
        if (mWatcher) {
            mWatchDue = now.plus(retryDelay());
            mFailures++;
        }
    }

    /** Schedules a read at the given time, unless one is due earlier. */
    void scheduleRead(Instant due) {
        if (mReadDue == null || due.isBefore(mReadDue)) {
            mReadDue = due;
        }
    }

    /**
     * Schedules a read by a member that is not a watcher, at a random time within {@code spread}
     * and at most once per {@link #FALLBACK_READ_PERIOD}.
     */
    void scheduleFallbackRead(Instant now, Duration spread) {
        if (mReadDue != null || mReadSentAt != null) {
            return;
        }
        if (mFallbackReadAt != null && now.isBefore(mFallbackReadAt.plus(FALLBACK_READ_PERIOD))) {
            return;
        }
        Instant due = now.plus(randomUpTo(spread));
        mFallbackReadAt = due;
        scheduleRead(due);
    }

    /** Returns whether a read has to be sent now; if so, it is marked as sent. */
    boolean takeRead(long readId, Instant now) {
        if (mReadSentAt != null && now.isAfter(mReadSentAt.plus(REPLY_TIMEOUT))) {
            readFailed(now);
        }
        if (mReadSentAt != null || mReadDue == null || now.isBefore(mReadDue)) {
            return false;
        }
        mReadDue = null;
        mReadSentAt = now;
        mReadId = readId;
        return true;
    }

    /**
     * Ends the read with the given identifier; returns when it was sent, or null if it is not
     * pending.
     */
    @Nullable Instant endRead(long readId) {
        if (mReadSentAt == null || readId != mReadId) {
            return null;
        }
        Instant sentAt = mReadSentAt;
        mReadSentAt = null;
        return sentAt;
    }

    /** Records a reply of the key-value service, which resets the backoff. */
    void serviceReplied() {
        mFailures = 0;
    }

    /** Records that a read failed; a watcher schedules the next one. */
    void readFailed(Instant now) {
        mReadSentAt = null;
        if (mWatcher) {
            scheduleRead(now.plus(retryDelay()));
            mFailures++;
        }
    }

    /** Schedules the next regular read of a watcher. */
    void scheduleRegularRead(Instant now, Duration period) {
        if (mWatcher) {
            scheduleRead(now.plus(period.dividedBy(2)).plus(randomUpTo(period)));
        }
    }

    /**
     * Returns whether no write-back is pending; if so, the caller has to send one, which is marked
     * as sent.
     */
    boolean takeWriteBack(Instant now) {
        if (mWriteBackSentAt != null && now.isBefore(mWriteBackSentAt.plus(REPLY_TIMEOUT))) {
            return false;
        }
        mWriteBackSentAt = now;
        return true;
    }

    /** Ends the write-back; if it failed, schedules a read of the key-value service. */
    void writeBackEnded(boolean written, Instant now) {
        mWriteBackSentAt = null;
        if (!written) {
            scheduleRead(now.plus(retryDelay()));
        }
    }

    private Duration retryDelay() {
        Duration doubled =
                INITIAL_RETRY_DELAY.multipliedBy(1L << Math.min(mFailures, MAX_BACKOFF_SHIFT));
        Duration longest = doubled.compareTo(MAX_RETRY_DELAY) < 0 ? doubled : MAX_RETRY_DELAY;
        Duration half = longest.dividedBy(2);
        return half.plus(randomUpTo(half));
    }

    private Duration randomUpTo(Duration longest) {
        return Duration.ofMillis(mRandom.nextLong(longest.toMillis() + 1));
    }
}
