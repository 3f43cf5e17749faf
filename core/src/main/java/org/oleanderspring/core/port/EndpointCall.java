package org.oleanderspring.core.port;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
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
 * @param instance the run of the endpoint's process that the attempt is for, or null for any
 * @param lastEventId the last event that the caller has, or null if the answer begins anew
 */
public record EndpointCall(
        String attemptName,
        Address address,
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        int priority,
        Duration timeToFirstByte,
        @Nullable String instance,
        @Nullable String lastEventId) {
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

    /**
     * Creates an attempt at any run of the endpoint's process, whose answer begins anew.
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
    public EndpointCall(
            String attemptName,
            Address address,
            String method,
            String path,
            List<Header> headers,
            byte[] body,
            int priority,
            Duration timeToFirstByte) {
        this(
                attemptName,
                address,
                method,
                path,
                headers,
                body,
                priority,
                timeToFirstByte,
                null,
                null);
    }
}
