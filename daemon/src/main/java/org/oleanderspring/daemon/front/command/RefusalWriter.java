package org.oleanderspring.daemon.front.command;

import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.daemon.front.Refusal;

/** Writes refusals in the form that the HTTP interface of a front end defines. */
public interface RefusalWriter {
    /**
     * Writes a refusal as the complete response.
     *
     * @param response the response, without status, headers or body yet
     * @param refusal the refusal
     * @param callback completed when the response is written
     */
    void write(Response response, Refusal refusal, Callback callback);
}
