package org.oleanderspring.core.port;

import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelReference;

/**
 * What the head of a caller's request says beside its route.
 *
 * @param attemptName the caller's identity of this attempt
 * @param responseTimeout how long the caller waits for the whole answer, or null if it does not say
 * @param model the model or adapter that it asks for, or null for none
 * @param prefixHash a hash of the parts of its prompt that other requests share; 0 if there are
 *     none
 */
public record RequestHead(
        String attemptName,
        @Nullable Duration responseTimeout,
        @Nullable ModelReference model,
        long prefixHash) {
    /** Checks for a missing name. */
    public RequestHead {
        Objects.requireNonNull(attemptName, "attemptName");
    }
}
