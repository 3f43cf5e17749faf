package org.oleanderspring.standin.http;

/** Handles the requests of one route. */
@FunctionalInterface
public interface Resource {
    /**
     * Handles a request; the response may be sent after this method returned.
     *
     * @param exchange the request and its response
     */
    void handle(Exchange exchange);
}
