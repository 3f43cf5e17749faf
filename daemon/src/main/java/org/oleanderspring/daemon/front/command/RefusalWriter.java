package org.oleanderspring.daemon.front.command;

import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.daemon.front.Refusal;

/** Writes refusals in the form that a front end promises to its callers. */
public interface RefusalWriter {
    /**
     * Writes a refusal as the whole answer.
     *
     * @param response the answer
     * @param refusal the refusal
     * @param callback completed when it is written
     */
    void write(Response response, Refusal refusal, Callback callback);
}
