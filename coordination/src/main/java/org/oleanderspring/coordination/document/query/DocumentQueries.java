package org.oleanderspring.coordination.document.query;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.VersionedDocument;

/**
 * Read access to the documents of one member; must be called on the thread that owns the decider.
 */
public interface DocumentQueries {
    /**
     * Returns the current version of a document, or empty if no version is known yet.
     *
     * @param name the document
     */
    Optional<VersionedDocument> currentVersion(DocumentName name);

    /** Returns the current versions of all documents, ordered by name. */
    List<VersionedDocument> currentVersions();

    /**
     * Returns the time until which this member may make decisions based on its documents, or null
     * if it may not do so now.
     *
     * @param now the current time
     */
    @Nullable Instant authorityEnd(Instant now);
}
