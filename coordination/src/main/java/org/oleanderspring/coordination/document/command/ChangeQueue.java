package org.oleanderspring.coordination.document.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.ChangeId;
import org.oleanderspring.coordination.document.ChangeResult;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.store.Revision;

/**
 * The pending changes of operators, processed one at a time for each document.
 *
 * <p>A change is written only if the key-value service contains the current version. If the reply
 * to a write is lost, the service is read again: the change is accepted if it is the current
 * version, and written again if the service still contains the old version. Writing twice is safe,
 * because both writes expect the revision of the old version.
 */
final class ChangeQueue {
    /** The time after its proposal at which a change is settled as unavailable or uncertain. */
    private static final Duration TIME_LIMIT = Duration.ofSeconds(15);

    private final Map<DocumentName, Deque<Change>> mChanges = new HashMap<>();

    /** Adds a change; returns whether it is now the first one in the queue of its document. */
    boolean add(ChangeId id, VersionedDocument document, Instant now) {
        Deque<Change> queue = mChanges.computeIfAbsent(document.name(), name -> new ArrayDeque<>());
        queue.add(new Change(id, document, now.plus(TIME_LIMIT)));
        return queue.size() == 1;
    }

    /**
     * Returns whether the first change of the document needs a read of the key-value service before
     * it can proceed.
     */
    boolean needsRead(DocumentName name) {
        Change change = head(name);
        return change != null && !change.mWriting && !change.mAwaitsWriteBack;
    }

    /** Records that a write-back of the document has ended. */
    void writeBackEnded(DocumentName name) {
        Change change = head(name);
        if (change != null) {
            change.mAwaitsWriteBack = false;
        }
    }

    /**
     * Proceeds with the first change of a document after a read of the key-value service.
     *
     * @param current the current version after the read
     * @param found the version that was read; null if the key does not exist
     * @param revision its revision
     */
    List<DocumentDecision> proceed(
            DocumentName name,
            @Nullable VersionedDocument current,
            @Nullable VersionedDocument found,
            Revision revision) {
        Change change = head(name);
        if (change == null || change.mWriting) {
            return List.of();
        }
        if (current != null && current.number() >= change.mDocument.number()) {
            return List.of(settle(change, resultIfSuperseded(change, current)));
        }
        boolean serviceIsCurrent = current == null ? found == null : current.equals(found);
        change.mAwaitsWriteBack = !serviceIsCurrent;
        if (!serviceIsCurrent) {
            return List.of();
        }
        change.mWriting = true;
        return List.of(new DocumentDecision.WriteChange(change.mId, change.mDocument, revision));
    }

    /**
     * Ends the write of a change; returns the proposed document, or null if the change is not
     * pending.
     */
    @Nullable VersionedDocument writeEnded(ChangeId id, boolean maybeWritten) {
        Change change = find(id);
        if (change == null) {
            return null;
        }
        change.mWriting = false;
        change.mMaybeWritten |= maybeWritten;
        return change.mDocument;
    }

    /**
     * Settles a change that was written. The current version may already be a later one, in which
     * case the change was accepted. If it has the same number but other content, the key-value
     * service lost one of the two versions, so the result is uncertain.
     */
    List<DocumentDecision> written(ChangeId id, VersionedDocument current) {
        Change change = find(id);
        if (change == null) {
            return List.of();
        }
        boolean replaced =
                current.number() == change.mDocument.number() && !current.equals(change.mDocument);
        ChangeResult result = replaced ? new ChangeResult.Uncertain() : new ChangeResult.Accepted();
        return List.of(settle(change, result));
    }

    /**
     * Settles the first change of a document as unavailable or uncertain, unless its write is
     * pending.
     */
    List<DocumentDecision> fail(DocumentName name, String reason) {
        Change change = head(name);
        if (change == null || change.mWriting) {
            return List.of();
        }
        return List.of(settle(change, resultIfFailed(change, reason)));
    }

    /** Settles all changes whose time limit has passed. */
    List<DocumentDecision> expire(Instant now) {
        List<DocumentDecision> decisions = new ArrayList<>();
        for (Deque<Change> queue : List.copyOf(mChanges.values())) {
            for (Change change : List.copyOf(queue)) {
                if (now.isAfter(change.mDeadline)) {
                    decisions.add(
                            settle(change, resultIfFailed(change, "the time limit has passed")));
                }
            }
        }
        return decisions;
    }

    private DocumentDecision settle(Change change, ChangeResult result) {
        DocumentName name = change.mDocument.name();
        Deque<Change> queue = mChanges.get(name);
        if (queue != null) {
            queue.remove(change);
            if (queue.isEmpty()) {
                mChanges.remove(name);
            }
        }
        return new DocumentDecision.ReportChangeResult(change.mId, result);
    }

    private static ChangeResult resultIfSuperseded(Change change, VersionedDocument current) {
        if (current.equals(change.mDocument)) {
            return new ChangeResult.Accepted();
        }
        if (change.mMaybeWritten) {
            return new ChangeResult.Uncertain();
        }
        return new ChangeResult.Superseded(current);
    }

    private static ChangeResult resultIfFailed(Change change, String reason) {
        if (change.mWriting || change.mMaybeWritten) {
            return new ChangeResult.Uncertain();
        }
        return new ChangeResult.Unavailable(reason);
    }

    private @Nullable Change head(DocumentName name) {
        Deque<Change> queue = mChanges.get(name);
        return queue == null ? null : queue.peekFirst();
    }

    private @Nullable Change find(ChangeId id) {
        for (Deque<Change> queue : mChanges.values()) {
            Change first = queue.peekFirst();
            if (first != null && first.mId.equals(id)) {
                return first;
            }
        }
        return null;
    }

    /** A change and its progress. */
    private static final class Change {
        private final ChangeId mId;
        private final VersionedDocument mDocument;
        private final Instant mDeadline;
        private boolean mWriting;
        private boolean mMaybeWritten;
        private boolean mAwaitsWriteBack;

        Change(ChangeId id, VersionedDocument document, Instant deadline) {
            mId = id;
            mDocument = document;
            mDeadline = deadline;
        }
    }
}
