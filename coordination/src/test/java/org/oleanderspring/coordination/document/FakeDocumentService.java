package org.oleanderspring.coordination.document;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;

/**
 * A fake key-value service that can lose its latest writes and records every version ever written.
 */
final class FakeDocumentService {
    private final List<Map<DocumentName, Entry>> mHistory = new ArrayList<>();
    private final Set<VersionedDocument> mEverWritten = new HashSet<>();
    private final List<Accepted> mAccepted = new ArrayList<>();
    private Map<DocumentName, Entry> mEntries = new HashMap<>();
    private long mLastRevision;
    private boolean mUp = true;
    private int mReads;

    boolean isUp() {
        return mUp;
    }

    void setUp(boolean up) {
        mUp = up;
    }

    Entry read(DocumentName name) {
        mReads++;
        return find(name);
    }

    Entry find(DocumentName name) {
        return mEntries.getOrDefault(name, new Entry(null, Revision.ABSENT));
    }

    boolean compareAndSwap(VersionedDocument document, Revision expected, Instant now) {
        if (!find(document.name()).revision().equals(expected)) {
            return false;
        }
        mHistory.add(Map.copyOf(mEntries));
        mLastRevision++;
        mEntries.put(document.name(), new Entry(document, new Revision(mLastRevision)));
        mEverWritten.add(document);
        mAccepted.add(new Accepted(now, document));
        return true;
    }

    /**
     * Reverts a number of the latest writes, as after a restore from a backup, with or without
     * reuse of their revisions.
     */
    void restore(int writes, boolean reusesRevisions) {
        if (mHistory.isEmpty()) {
            return;
        }
        mAccepted.clear();
        int index = Math.max(0, mHistory.size() - writes);
        mEntries = new HashMap<>(mHistory.get(index));
        mHistory.subList(index, mHistory.size()).clear();
        if (reusesRevisions) {
            mLastRevision =
                    mEntries.values().stream().mapToLong(e -> e.revision().value()).max().orElse(0);
        }
    }

    boolean wasWritten(VersionedDocument document) {
        return mEverWritten.contains(document);
    }

    /**
     * Returns the highest version number that was accepted up to a time and not lost since, or 0.
     */
    long highestAcceptedBefore(DocumentName name, Instant time) {
        return mAccepted.stream()
                .filter(accepted -> !accepted.at().isAfter(time))
                .map(Accepted::document)
                .filter(document -> document.name().equals(name))
                .mapToLong(VersionedDocument::number)
                .max()
                .orElse(0);
    }

    int takeReadCount() {
        int reads = mReads;
        mReads = 0;
        return reads;
    }

    private record Accepted(Instant at, VersionedDocument document) {}

    /** The value and revision of a key. */
    record Entry(@Nullable VersionedDocument document, Revision revision) {}
}
