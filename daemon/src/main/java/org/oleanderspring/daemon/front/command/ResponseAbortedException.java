package org.oleanderspring.daemon.front.command;

import org.eclipse.jetty.io.QuietException;

/**
 * Fails Jetty's callback of a response that cannot be completed, so that Jetty closes the
 * connection. It has no stack trace, and as a {@link QuietException} it does not fill Jetty's log.
 */
final class ResponseAbortedException extends Exception implements QuietException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param reason why the response was aborted
     */
    ResponseAbortedException(String reason) {
        super(reason, null, false, false);
    }
}
