package org.oleanderspring.coordination.document.command;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.DocumentVersion;
import org.oleanderspring.coordination.document.VersionedDocument;

/**
 * The current versions of all documents. This is the only place where one version replaces another.
 */
final class HeldDocuments {
    private final Map<DocumentName, Held> mHeld = new TreeMap<>();

    /**
     * Makes a version the current one if it is newer than the current one; returns whether it did.
     */
    boolean take(VersionedDocument document) {
        VersionedDocument inForce = find(document.name());
        if (inForce != null && !document.isNewerThan(inForce)) {
            return false;
        }
        mHeld.put(document.name(), new Held(document, document.version()));
        return true;
    }

    /** Returns the current version, or null. */
    @Nullable VersionedDocument find(DocumentName name) {
        Held held = mHeld.get(name);
        return held == null ? null : held.document();
    }

    /** Returns the current versions of all documents, ordered by name. */
    List<VersionedDocument> all() {
        return mHeld.values().stream().map(Held::document).toList();
    }

    /** Returns the names of the documents that have a current version, in sorted order. */
    Set<DocumentName> names() {
        return mHeld.keySet();
    }

    /** Returns the name, number and checksum of the current version, or null. */
    @Nullable DocumentVersion version(DocumentName name) {
        Held held = mHeld.get(name);
        return held == null ? null : held.version();
    }

    /** Returns whether a version of another member may be newer than the current version. */
    boolean lacks(DocumentVersion other) {
        DocumentVersion own = version(other.name());
        if (own == null || other.number() > own.number()) {
            return true;
        }
        return other.number() == own.number() && other.checksum() != own.checksum();
    }

    /** A document with its version; caches the checksum, since every digest contains it. */
    private record Held(VersionedDocument document, DocumentVersion version) {}
}
