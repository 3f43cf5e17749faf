package org.oleanderspring.daemon.membership.command;

import java.time.Instant;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.query.DigestSnapshot;
import org.oleanderspring.coordination.membership.query.DigestSource;

/**
 * Keeps the latest digest of this daemon's documents and encodes it for each membership message.
 * Confined to the membership thread.
 */
public final class EncodedDigestSource implements DigestSource {
    private final DigestEncoder mEncoder;
    private DigestSnapshot mSnapshot = DigestSnapshot.EMPTY;

    /** Encodes digests for the wire. */
    @FunctionalInterface
    public interface DigestEncoder {
        /**
         * Encodes a digest. Called on the membership thread for each outgoing message.
         *
         * @param digest the digest
         */
        byte[] encode(DocumentDigest digest);
    }

    /**
     * Creates a source whose digest is empty until the first update.
     *
     * @param encoder encodes digests
     */
    public EncodedDigestSource(DigestEncoder encoder) {
        mEncoder = encoder;
    }

    void update(DigestSnapshot snapshot) {
        mSnapshot = snapshot;
    }

    @Override
    public byte[] digest(Instant now) {
        return mEncoder.encode(mSnapshot.at(now));
    }
}
