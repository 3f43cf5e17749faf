package org.oleanderspring.core.routing;

import java.time.Instant;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;

/**
 * What routing has to know of a call; its body stays with the front end.
 *
 * @param id the identity
 * @param target what the call asks for
 * @param onceKey the key of a non-idempotent call, or null for an idempotent one
 * @param priority a higher number goes first among calls with the same deadline
 * @param deadline when the answer must have begun
 * @param prefixHash a hash of the start of the prompt, equal for calls that can share a cached
 *     prefix; 0 if unknown
 */
public record CallRequest(
        CallId id,
        Target target,
        @Nullable IdempotencyKey onceKey,
        int priority,
        Instant deadline,
        long prefixHash) {
    /** Checks for missing parts. */
    public CallRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(deadline, "deadline");
    }

    /** Returns whether the call may be run again after it may have run. */
    public boolean isIdempotent() {
        return onceKey == null;
    }
}
