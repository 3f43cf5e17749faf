package org.oleanderspring.core.organisation;

import java.util.Objects;

/** What a request says about its API key. */
public sealed interface PresentedKey {
    /** The request names no key. */
    record None() implements PresentedKey {}

    /**
     * The request names one key.
     *
     * @param digest the digest of the key
     */
    record Given(ApiKeyDigest digest) implements PresentedKey {
        /** Rejects a null digest. */
        public Given {
            Objects.requireNonNull(digest, "digest");
        }
    }

    /**
     * The request names something that cannot be a key, or more than one key.
     *
     * @param reason what is wrong; must not contain the text that was named
     */
    record Malformed(String reason) implements PresentedKey {
        /** Rejects a null reason. */
        public Malformed {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
