package org.oleanderspring.core.routing;

import java.time.Instant;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.core.quarantine.Prompt;

/**
 * The properties of a call that routing uses. The body of the call stays with the front end.
 *
 * @param id the identity of the call
 * @param target the requested model or service
 * @param idempotencyKey the key of the dispatch record that must be claimed before the first
 *     attempt, or null if the call needs no record
 * @param priority among calls with the same deadline, a call with a higher number is served first
 * @param deadline the time by which the response must have begun or ended, according to {@code
 *     deadlineScope}
 * @param prefixHash a hash of the start of the prompt, equal for calls that can share a cached
 *     prefix; 0 if unknown
 * @param repetition under which conditions the work may be repeated
 * @param attemptLimit the maximum number of attempts; the attempt limit in {@link RoutingLimits}
 *     applies as well
 * @param deadlineScope which part of the response the deadline bounds
 * @param beginBy the time by which the response must begin, because the caller disconnects then;
 *     not after the deadline
 * @param prompt the parts of the prompt; {@link Prompt#UNKNOWN} if the caller does not name them
 * @param origin who sent the call and how much it asks for
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
        Instant beginBy,
        Prompt prompt,
        CallOrigin origin) {
    /**
     * Rejects null components, a {@code beginBy} after the deadline and an attempt limit below 1.
     */
    public CallRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(repetition, "repetition");
        Objects.requireNonNull(deadlineScope, "deadlineScope");
        Objects.requireNonNull(beginBy, "beginBy");
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(origin, "origin");
        if (beginBy.isAfter(deadline)) {
            throw new IllegalArgumentException(
                    "beginBy " + beginBy + " is after the deadline " + deadline);
        }
        if (attemptLimit < 1) {
            throw new IllegalArgumentException("attempt limit is not positive: " + attemptLimit);
        }
    }

    /**
     * Creates a call whose deadline bounds the beginning of its response and whose number of
     * attempts is bounded only by {@link RoutingLimits}. With an idempotency key the call runs at
     * most once; without one it may be repeated.
     *
     * @param id the identity of the call
     * @param target the requested model or service
     * @param idempotencyKey the key of a non-idempotent call, or null for an idempotent one
     * @param priority among calls with the same deadline, a call with a higher number is served
     *     first
     * @param deadline the time by which the response must have begun
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
                deadline,
                Prompt.UNKNOWN,
                CallOrigin.UNKNOWN);
    }

    /** Returns whether the call may be repeated although an earlier attempt may have run. */
    public boolean isIdempotent() {
        return repetition != Repetition.AT_MOST_ONCE;
    }

    /** Returns whether a dispatch record must be claimed before the first attempt. */
    public boolean needsRecord() {
        return idempotencyKey != null;
    }
}
