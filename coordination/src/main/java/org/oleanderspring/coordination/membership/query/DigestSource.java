package org.oleanderspring.coordination.membership.query;

import java.time.Instant;

/** Provides the document digest for membership messages. */
@FunctionalInterface
public interface DigestSource {
    /**
     * Returns the encoded digest. Called for each message, because the digest contains ages that
     * depend on the current time.
     *
     * @param now the current time
     */
    byte[] digest(Instant now);
}
