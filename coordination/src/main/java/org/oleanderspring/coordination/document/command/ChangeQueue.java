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
 * The operators' changes under way, at most one at a time for each document.
 *
 * <p>A change is written only over content equal to the version in force. If the reply to a write
 * is lost, the service is read: the change is accepted if it is in force, and written again if the
 * content is still the old one. Writing twice is harmless, because both writes expect the revision
 * of the old content.
 */
final class ChangeQueue {
    private static final Duration TIME_LIMIT = Duration.ofSeconds(15);

    private final Map<DocumentName, Deque<Change>> mChanges = new HashMap<>();

    /** Adds a change; returns whether it is the first one of its document. */
    boolean add(ChangeId id, VersionedDocument document, Instant now) {
        Deque<Change> queue = mChanges.computeIfAbsent(document.name(), name -> new ArrayDeque<>());
        queue.add(new Change(id, document, now.plus(TIME_LIMIT)));
        return queue.size() == 1;
    }

    /** Returns whether the first change of the document waits for a read of the service. */
    boolean needsRead(DocumentName name) {
        Change change = head(name);
        return change != null && !change.mWriting && !change.mAwaitsWriteBack;
    }

    /** Notes that a write-back of the document has ended. */
    void writeBackEnded(DocumentName name) {
        Change change = head(name);
        if (change != null) {
            change.mAwaitsWriteBack = false;
        }
    }

    /**
     * Goes on with the first change of a document after a read of the service.
     *
     * @param inForce the version in force after the read
     * @param found the content that was read
     * @param revision its revision
     */
    List<DocumentDecision> proceed(
            DocumentName name,
            @Nullable VersionedDocument inForce,
            @Nullable VersionedDocument found,
            Revision revision) {
        Change change = head(name);
        if (change == null || change.mWriting) {
            return List.of();
        }
        if (inForce != null && inForce.number() >= change.mDocument.number()) {
            return List.of(settle(change, overtaken(change, inForce)));
        }
        boolean serviceIsCurrent = inForce == null ? found == null : inForce.equals(found);
        change.mAwaitsWriteBack = !serviceIsCurrent;
        if (!serviceIsCurrent) {
            return List.of();
        }
        change.mWriting = true;
        return List.of(new DocumentDecision.WriteChange(change.mId, change.mDocument, revision));
    }

    /** Ends the writing step of a change; returns the document, or null if it is not under way. */
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
     * Settles a change that was written. A later version may be in force already; another version
     * with the same number is, if the service lost one of the two.
     */
    List<DocumentDecision> written(ChangeId id, VersionedDocument inForce) {
        Change change = find(id);
        if (change == null) {
            return List.of();
        }
        boolean lost =
                inForce.number() == change.mDocument.number() && !inForce.equals(change.mDocument);
        ChangeResult result = lost ? new ChangeResult.Uncertain() : new ChangeResult.Accepted();
        return List.of(settle(change, result));
    }

    /** Settles the first change of a document because it cannot go on. */
    List<DocumentDecision> refuse(DocumentName name, String reason) {
        Change change = head(name);
        if (change == null || change.mWriting) {
            return List.of();
        }
        return List.of(settle(change, unfinished(change, reason)));
    }

    /** Settles the changes whose time limit has passed. */
    List<DocumentDecision> expire(Instant now) {
        List<DocumentDecision> decisions = new ArrayList<>();
        for (Deque<Change> queue : List.copyOf(mChanges.values())) {
            for (Change change : List.copyOf(queue)) {
                if (now.isAfter(change.mDeadline)) {
                    decisions.add(settle(change, unfinished(change, "the time limit has passed")));
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
        return new DocumentDecision.SettleChange(change.mId, result);
    }

    private static ChangeResult overtaken(Change change, VersionedDocument inForce) {
        if (inForce.equals(change.mDocument)) {
            return new ChangeResult.Accepted();
        }
        if (change.mMaybeWritten) {
            return new ChangeResult.Uncertain();
        }
        return new ChangeResult.Superseded(inForce);
    }

    private static ChangeResult unfinished(Change change, String reason) {
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

    /** One change and how far it has come. */
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
