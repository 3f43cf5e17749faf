package org.oleanderspring.core.port;

import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.organisation.PresentedKey;
import org.oleanderspring.core.organisation.TokenCount;
import org.oleanderspring.core.quarantine.Prompt;

/**
 * The header values of a caller's request that affect its routing.
 *
 * @param attemptName the identity that the caller has given to this attempt
 * @param responseTimeout how long the caller waits for the complete response, or null if
 *     unspecified
 * @param model the requested model or adapter, or null if none is named
 * @param prefixHash a hash of the parts of the prompt that are shared with other requests; 0 if
 *     there are none
 * @param prompt the parts of the prompt
 * @param tokens the tokens of the request, or null if it does not name them
 * @param key what the request says about its API key
 */
public record RequestHead(
        String attemptName,
        @Nullable Duration responseTimeout,
        @Nullable ModelReference model,
        long prefixHash,
        Prompt prompt,
        @Nullable TokenCount tokens,
        PresentedKey key) {
    /** Rejects null components, except for those that may be unspecified. */
    public RequestHead {
        Objects.requireNonNull(attemptName, "attemptName");
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(key, "key");
    }
}
