package org.oleanderspring.bench;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.store.Revision;

/** The settings document at a key-value service that always answers, with counts of calls. */
final class ControlStore {
    private final Map<ControlNode, Boolean> mWatchers = new LinkedHashMap<>();
    private @Nullable VersionedDocument mDocument;
    private long mRevision;
    private long mReads;

    @Nullable VersionedDocument document() {
        return mDocument;
    }

    Revision revision() {
        return new Revision(mRevision);
    }

    @Nullable VersionedDocument read() {
        mReads++;
        return mDocument;
    }

    /** Writes if the revision fits, and tells the watchers. */
    boolean write(VersionedDocument document, Revision expected) {
        if (expected.value() != mRevision) {
            return false;
        }
        mDocument = document;
        mRevision++;
        mWatchers.keySet().forEach(ControlNode::watched);
        return true;
    }

    void watch(ControlNode node) {
        mWatchers.put(node, true);
    }

    void unwatch(ControlNode node) {
        mWatchers.remove(node);
    }

    void resetCounts() {
        mReads = 0;
    }

    long reads() {
        return mReads;
    }

    int watches() {
        return mWatchers.size();
    }
}
