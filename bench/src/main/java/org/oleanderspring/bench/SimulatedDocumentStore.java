package org.oleanderspring.bench;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.store.Revision;

/** A key-value service that holds the settings document and never fails; it counts the reads. */
final class SimulatedDocumentStore {
    private final Map<ControlPlaneNode, Boolean> mWatchers = new LinkedHashMap<>();
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

    /** Writes the document if its revision is the expected one, and notifies the watchers. */
    boolean write(VersionedDocument document, Revision expected) {
        if (expected.value() != mRevision) {
            return false;
        }
        mDocument = document;
        mRevision++;
        mWatchers.keySet().forEach(ControlPlaneNode::documentChanged);
        return true;
    }

    void watch(ControlPlaneNode node) {
        mWatchers.put(node, true);
    }

    void unwatch(ControlPlaneNode node) {
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
