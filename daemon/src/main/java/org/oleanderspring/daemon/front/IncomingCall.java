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
 * A call with all that is needed to route it, to send it on and to answer it.
 *
 * @param id the identity
 * @param target what the call asks for
 * @param idempotencyKey the key of a non-idempotent call, or null for an idempotent one
 * @param priority a higher number goes first
 * @param arrivedAt when the call arrived
 * @param responseTimeout the time within which the answer must begin, or null if the call names
 *     none
 * @param prefixHash a hash of the start of the prompt; 0 if unknown
 * @param method the HTTP method
 * @param path the path at the endpoint, with its query
 * @param headers the headers to pass on
 * @param body the body; not to be changed
 * @param stream the way back to the caller
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
    /** Copies the headers. */
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
     * Returns what routing has to know.
     *
     * @param defaultTimeToAnswer the time for a call that names none
     */
    public CallRequest toRequest(Duration defaultTimeToAnswer) {
        Duration time = responseTimeout == null ? defaultTimeToAnswer : responseTimeout;
        return new CallRequest(
                id, target, idempotencyKey, priority, arrivedAt.plus(time), prefixHash);
    }
}
