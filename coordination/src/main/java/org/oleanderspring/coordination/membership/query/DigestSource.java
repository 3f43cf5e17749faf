package org.oleanderspring.coordination.membership.query;

import java.time.Instant;

/** Provides what membership messages say about documents. */
@FunctionalInterface
public interface DigestSource {
    /**
     * Returns the encoded digest; called for each message, because the digest contains an age.
     *
     * @param now the current time
     */
    byte[] digest(Instant now);
}
