package org.oleanderspring.core.port;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.organisation.CallerIdentity;

/**
 * One attempt of a call, as sent to an endpoint.
 *
 * @param attemptName the identity of the attempt, unique in the fleet
 * @param address the address of the endpoint
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the headers to forward
 * @param body the request body; must not be modified
 * @param priority the priority of the call; higher numbers are served first
 * @param timeToFirstByte how long to wait for the first byte of the response
 * @param instance the run of the endpoint's process that may take the attempt, or null for any
 * @param lastEventId the identity of the last event that the caller has received, after which the
 *     response resumes, or null if the response starts from the beginning
 * @param caller on whose behalf the call is made
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
        @Nullable String lastEventId,
        CallerIdentity caller) {
    /** Copies the headers and rejects null components, except for the nullable ones. */
    public EndpointCall {
        Objects.requireNonNull(attemptName, "attemptName");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(timeToFirstByte, "timeToFirstByte");
        Objects.requireNonNull(caller, "caller");
    }

    /**
     * Creates an attempt for any run of the endpoint's process, whose response starts from the
     * beginning.
     *
     * @param attemptName the identity of the attempt, unique in the fleet
     * @param address the address of the endpoint
     * @param method the HTTP method
     * @param path the path with its query
     * @param headers the headers to forward
     * @param body the request body; must not be modified
     * @param priority the priority of the call; higher numbers are served first
     * @param timeToFirstByte how long to wait for the first byte of the response
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
                null,
                new CallerIdentity.Unchecked());
    }
}
