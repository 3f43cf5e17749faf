package org.oleanderspring.daemon.front.command;

import org.eclipse.jetty.io.QuietException;

/** Closes the connection of an answer that cannot be completed. */
final class AnswerCutException extends Exception implements QuietException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param reason why the answer was cut off
     */
    AnswerCutException(String reason) {
        super(reason, null, false, false);
    }
}
