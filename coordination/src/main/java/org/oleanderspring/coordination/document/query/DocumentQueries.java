package org.oleanderspring.coordination.document.query;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.VersionedDocument;

/** Reads the document state of one member, on the thread that owns it. */
public interface DocumentQueries {
    /**
     * Returns the version in force of a document, or nothing if none was seen yet.
     *
     * @param name the document
     */
    Optional<VersionedDocument> currentVersion(DocumentName name);

    /** Returns all versions in force, in the order of their names. */
    List<VersionedDocument> currentVersions();

    /**
     * Returns the end of the time for which this member may decide by its documents, or null if it
     * may not decide now.
     *
     * @param now the current time
     */
    @Nullable Instant authorityEnd(Instant now);
}
