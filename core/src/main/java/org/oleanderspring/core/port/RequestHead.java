package org.oleanderspring.core.port;

import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelReference;
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
 */
public record RequestHead(
        String attemptName,
        @Nullable Duration responseTimeout,
        @Nullable ModelReference model,
        long prefixHash,
        Prompt prompt) {
    /** Rejects a null attempt name and a null prompt. */
    public RequestHead {
        Objects.requireNonNull(attemptName, "attemptName");
        Objects.requireNonNull(prompt, "prompt");
    }
}
