package org.oleanderspring.bench;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.store.Revision;

/** A key-value service that holds the settings document and never fails; it counts the reads. */
final class SimulatedDocumentStore {
    /** Used as a set; it keeps the order of the first watch, so that runs are repeatable. */
    private final Map<ControlPlaneNode, Boolean> mWatchers = new LinkedHashMap<>();

    private @Nullable VersionedDocument mDocument;
    private long mRevision;
    private long mReads;

    /** Returns the document, or null before the first write; not counted as a read. */
    @Nullable VersionedDocument document() {
        return mDocument;
    }

    Revision revision() {
        return new Revision(mRevision);
    }

    /** Counts a read and returns the document, or null before the first write. */
    @Nullable VersionedDocument read() {
        mReads++;
        return mDocument;
    }

    /**
     * Writes the document and notifies the watchers, unless the present revision differs from the
     * expected one; returns whether it has written.
     */
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

    /** Returns the number of reads since the last {@link #resetCounts}. */
    long reads() {
        return mReads;
    }

    /** Returns the number of nodes that watch the document now. */
    int watches() {
        return mWatchers.size();
    }
}
