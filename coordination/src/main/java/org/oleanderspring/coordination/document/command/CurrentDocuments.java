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
final class CurrentDocuments {
    private final Map<DocumentName, Entry> mEntries = new TreeMap<>();

    /**
     * Makes a version the current one if it is newer than the current one; returns whether it did.
     */
    boolean replaceIfNewer(VersionedDocument document) {
        VersionedDocument current = find(document.name());
        if (current != null && !document.isNewerThan(current)) {
            return false;
        }
        mEntries.put(document.name(), new Entry(document, document.version()));
        return true;
    }

    /** Returns the current version, or null. */
    @Nullable VersionedDocument find(DocumentName name) {
        Entry entry = mEntries.get(name);
        return entry == null ? null : entry.document();
    }

    /** Returns the current versions of all documents, ordered by name. */
    List<VersionedDocument> all() {
        return mEntries.values().stream().map(Entry::document).toList();
    }

    /** Returns the names of the documents that have a current version, in sorted order. */
    Set<DocumentName> names() {
        return mEntries.keySet();
    }

    /** Returns the name, number and checksum of the current version, or null. */
    @Nullable DocumentVersion version(DocumentName name) {
        Entry entry = mEntries.get(name);
        return entry == null ? null : entry.version();
    }

    /**
     * Returns whether there is no current version, or the other version has a higher number, or it
     * has the same number and a different checksum.
     */
    boolean isOlderThan(DocumentVersion other) {
        DocumentVersion own = version(other.name());
        if (own == null || other.number() > own.number()) {
            return true;
        }
        return other.number() == own.number() && other.checksum() != own.checksum();
    }

    /** A document with its version; caches the checksum, since every digest contains it. */
    private record Entry(VersionedDocument document, DocumentVersion version) {}
}
