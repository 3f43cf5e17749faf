package org.oleanderspring.core.quarantine.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.QuarantineEntry;

/**
 * Brings the entries of a daemon into the key-value service. All entries are one value, changed by
 * compare-and-swap. The daemon that made a decision writes at once. The others write only if the
 * entry is still missing after a time that depends on their rank, so that an entry is not lost with
 * the daemon that made it, and few daemons write at the same time.
 */
final class EntryStore {
    /** The time by which the write of a daemon of the next rank follows. */
    static final Duration RANK_DELAY = Duration.ofSeconds(2);

    private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(8);

    private final Map<PromptPattern, QuarantineEntry> mStored = new HashMap<>();
    private Revision mRevision = Revision.ABSENT;
    private Instant mWriteAt = Instant.MAX;
    private Duration mRetryDelay = FIRST_RETRY_DELAY;
    private boolean mWriting;

    /** Records the entries that the key-value service has, and withdraws a scheduled write. */
    void stored(List<QuarantineEntry> entries, Revision revision) {
        mStored.clear();
        entries.forEach(entry -> mStored.put(entry.pattern(), entry));
        mRevision = revision;
        mRetryDelay = FIRST_RETRY_DELAY;
        mWriting = false;
        mWriteAt = Instant.MAX;
    }

    /** Records that a write failed; it is tried again after a growing delay. */
    void failed(Instant now) {
        mWriting = false;
        mWriteAt = now.plus(mRetryDelay);
        Duration doubled = mRetryDelay.multipliedBy(2);
        mRetryDelay = doubled.compareTo(MAX_RETRY_DELAY) < 0 ? doubled : MAX_RETRY_DELAY;
    }

    /** Schedules a write, unless an earlier one is scheduled. */
    void requestWrite(Instant at) {
        if (at.isBefore(mWriteAt)) {
            mWriteAt = at;
        }
    }

    /**
     * Returns the first entry that the key-value service lacks or has in a superseded form, or null
     * if there is none.
     */
    @Nullable QuarantineEntry firstMissing(EntryTable table) {
        for (QuarantineEntry entry : table.entries()) {
            QuarantineEntry stored = mStored.get(entry.pattern());
            if (stored == null || entry.supersedes(stored)) {
                return entry;
            }
        }
        return null;
    }

    /**
     * Returns whether a write is due now, and if so, counts it as begun.
     *
     * @param hasClaim whether a trial is to be claimed, which is due at once
     */
    boolean beginWrite(EntryTable table, boolean hasClaim, Instant now) {
        if (mWriting || now.isBefore(mWriteAt) && !hasClaim) {
            return false;
        }
        mWriteAt = Instant.MAX;
        mWriting = hasClaim || firstMissing(table) != null;
        return mWriting;
    }

    boolean isWriting() {
        return mWriting;
    }

    boolean isWriteScheduled() {
        return !mWriteAt.equals(Instant.MAX);
    }

    Revision revision() {
        return mRevision;
    }
}
