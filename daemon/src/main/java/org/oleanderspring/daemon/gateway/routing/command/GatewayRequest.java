package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.port.RequestHead;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.daemon.front.ResponseStream;
import org.oleanderspring.daemon.gateway.routing.query.CallerPresence;

/**
 * A request of a client of the hosted platform.
 *
 * @param id identifies the request within this daemon
 * @param host the host from the request's URI or {@code Host} header
 * @param method the HTTP method
 * @param path the path with the query
 * @param headers the header fields
 * @param head the parsed values of the platform's header fields
 * @param body the body; must not be modified
 * @param arrivedAt when the request was completely read
 * @param stream the response to the client
 * @param caller whether the client still waits
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
        ResponseStream stream,
        CallerPresence caller) {
    /** Copies the headers; rejects null components. */
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
        Objects.requireNonNull(caller, "caller");
    }

    /** Returns the path without the query. */
    public String pathWithoutQuery() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
