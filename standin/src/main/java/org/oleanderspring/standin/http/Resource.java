package org.oleanderspring.standin.http;

/** Answers the requests of one kind. */
@FunctionalInterface
public interface Resource {
    /**
     * Answers a request, now or later.
     *
     * @param exchange the request and its answer
     */
    void handle(Exchange exchange);
}
