package org.oleanderspring.standin.http;

/** Handles the requests of one route. */
@FunctionalInterface
public interface Resource {
    /**
     * Handles a request; the response may be sent after this method returned. Called on a thread of
     * the server, or on the state thread if the route submits its requests to {@link
     * StateThread#handleRequest}.
     *
     * @param exchange the request and its response
     */
    void handle(Exchange exchange);
}
