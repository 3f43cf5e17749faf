package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.port.RequestHead;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.daemon.front.ResponseStream;

/**
 * A request as a client of the hosted platform sent it.
 *
 * @param id the identity
 * @param host the host that it names
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the header fields
 * @param head what they say
 * @param body the body; not to be changed
 * @param arrivedAt when it was read
 * @param stream where its answer goes
 */
public record GatewayRequest(
        CallId id,
        String host,
        String method,
        String path,
        List<Header> headers,
        RequestHead head,
        byte[] body,
        Instant arrivedAt,
        ResponseStream stream) {
    /** Copies the headers. */
    public GatewayRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = List.copyOf(headers);
        Objects.requireNonNull(head, "head");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(arrivedAt, "arrivedAt");
        Objects.requireNonNull(stream, "stream");
    }

    /** Returns the path without its query. */
    public String pathWithoutQuery() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
