package org.oleanderspring.core.port;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;

/**
 * One attempt as it is sent to an endpoint.
 *
 * @param attemptName the identity of the attempt, unique in the fleet
 * @param address where the endpoint listens
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the headers to pass on
 * @param body the body; not to be changed
 * @param priority a higher number goes first
 * @param timeToFirstByte how long to wait for the first byte of the answer
 */
public record EndpointCall(
        String attemptName,
        Address address,
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        int priority,
        Duration timeToFirstByte) {
    /** Copies the headers. */
    public EndpointCall {
        Objects.requireNonNull(attemptName, "attemptName");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(timeToFirstByte, "timeToFirstByte");
    }
}
