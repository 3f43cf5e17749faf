package org.oleanderspring.daemon.front;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.Target;

/**
 * A call with all that is needed to route it, to forward it to an endpoint and to respond to it.
 *
 * @param id identifies the call within this daemon
 * @param target the called model or service
 * @param idempotencyKey the key of a non-idempotent call, or null for an idempotent one
 * @param priority among calls with the same deadline, a call with a higher number is served first
 * @param arrivedAt the time at which the call was completely read
 * @param responseTimeout the time within which the response must begin, or null if the call does
 *     not state it
 * @param prefixHash a hash of the start of the prompt; 0 if unknown
 * @param method the HTTP method
 * @param path the path at the endpoint, with the query
 * @param headers the header fields to forward
 * @param body the body; must not be modified
 * @param stream the response to the caller
 */
public record IncomingCall(
        CallId id,
        Target target,
        @Nullable IdempotencyKey idempotencyKey,
        int priority,
        Instant arrivedAt,
        @Nullable Duration responseTimeout,
        long prefixHash,
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        ResponseStream stream) {
    /** Copies the headers; rejects null in the components that require a value. */
    public IncomingCall {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(arrivedAt, "arrivedAt");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(stream, "stream");
    }

    /**
     * Returns the call in the form that the routing decider works with.
     *
     * @param defaultResponseTimeout the time within which the response must begin if the call does
     *     not state it
     */
    public CallRequest toCallRequest(Duration defaultResponseTimeout) {
        Duration timeout = responseTimeout == null ? defaultResponseTimeout : responseTimeout;
        return new CallRequest(
                id, target, idempotencyKey, priority, arrivedAt.plus(timeout), prefixHash);
    }
}
