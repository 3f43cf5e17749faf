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
 * @param idempotencyKey the key under which a call must be recorded before it is started, or null
 * @param priority a higher number goes first among calls with the same deadline
 * @param deadline when the answer must have begun, or ended, as the scope says
 * @param prefixHash a hash of the start of the prompt, equal for calls that can share a cached
 *     prefix; 0 if unknown
 * @param repetition how often the work may be done
 * @param attemptLimit at most this many attempts; the limit of the fleet applies besides
 * @param deadlineScope which part of the answer the deadline bounds
 * @param beginBy when the answer must have begun for the caller still to be there; not after the
 *     deadline
 */
public record CallRequest(
        CallId id,
        Target target,
        @Nullable IdempotencyKey idempotencyKey,
        int priority,
        Instant deadline,
        long prefixHash,
        Repetition repetition,
        int attemptLimit,
        DeadlineScope deadlineScope,
        Instant beginBy) {
    /** Checks for missing parts. */
    public CallRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(repetition, "repetition");
        Objects.requireNonNull(deadlineScope, "deadlineScope");
        Objects.requireNonNull(beginBy, "beginBy");
        if (beginBy.isAfter(deadline)) {
            throw new IllegalArgumentException("the answer may begin after its deadline");
        }
        if (attemptLimit < 1) {
            throw new IllegalArgumentException("attempt limit is not positive: " + attemptLimit);
        }
    }

    /**
     * Creates a call that is recorded before its start or may be repeated, with the attempts that
     * the fleet allows and a deadline for the beginning of the answer.
     *
     * @param id the identity
     * @param target what the call asks for
     * @param onceKey the key of a non-idempotent call, or null for an idempotent one
     * @param priority a higher number goes first among calls with the same deadline
     * @param deadline when the answer must have begun
     * @param prefixHash a hash of the start of the prompt; 0 if unknown
     */
    public CallRequest(
            CallId id,
            Target target,
            @Nullable IdempotencyKey idempotencyKey,
            int priority,
            Instant deadline,
            long prefixHash) {
        this(
                id,
                target,
                idempotencyKey,
                priority,
                deadline,
                prefixHash,
                idempotencyKey == null ? Repetition.REPEATABLE : Repetition.AT_MOST_ONCE,
                Integer.MAX_VALUE,
                DeadlineScope.FIRST_BYTE,
                deadline);
    }

    /** Returns whether the call may be run again after it may have run. */
    public boolean isIdempotent() {
        return repetition != Repetition.AT_MOST_ONCE;
    }

    /** Returns whether the call must be recorded before it is started. */
    public boolean needsRecord() {
        return idempotencyKey != null;
    }
}
