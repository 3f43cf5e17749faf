package org.oleanderspring.coordination.document.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.DocumentOptions;
import org.oleanderspring.coordination.document.DocumentVersion;
import org.oleanderspring.coordination.document.query.DigestSnapshot;

/**
 * Selects the versions that digests contain: always the governing document, and in rotation as many
 * other documents as {@link DocumentOptions#digestVersions} allows.
 */
final class DigestPublisher {
    private final DocumentName mGoverning;
    private final int mMaxVersions;
    private int mRotationOffset;
    private @Nullable DigestSnapshot mPublished;

    DigestPublisher(DocumentOptions options) {
        mGoverning = options.governing();
        mMaxVersions = options.digestVersions();
    }

    /**
     * Advances the rotation to the next documents; the governing document takes one place of each
     * digest.
     */
    void rotate(CurrentDocuments documents) {
        if (documents.names().size() > mMaxVersions) {
            mRotationOffset += mMaxVersions - 1;
        }
    }

    /** Returns a snapshot with the currently selected versions. */
    DigestSnapshot snapshot(CurrentDocuments documents, Freshness freshness) {
        List<DocumentName> otherNames = new ArrayList<>(documents.names());
        List<DocumentName> chosen = new ArrayList<>();
        if (otherNames.remove(mGoverning)) {
            chosen.add(mGoverning);
        }
        int count = Math.min(mMaxVersions - chosen.size(), otherNames.size());
        for (int offset = 0; offset < count; offset++) {
            chosen.add(otherNames.get(Math.floorMod(mRotationOffset + offset, otherNames.size())));
        }
        List<DocumentVersion> versions =
                chosen.stream().map(documents::version).filter(Objects::nonNull).toList();
        return new DigestSnapshot(versions, freshness.freshAt(), freshness.witnessContacts());
    }

    /**
     * Returns the decision to publish the current snapshot if it differs from the one published
     * last.
     */
    Optional<DocumentDecision> publishChanges(CurrentDocuments documents, Freshness freshness) {
        DigestSnapshot snapshot = snapshot(documents, freshness);
        if (snapshot.equals(mPublished)) {
            return Optional.empty();
        }
        mPublished = snapshot;
        return Optional.of(new DocumentDecision.PublishDigest(snapshot));
    }
}
