package org.oleanderspring.daemon.front;

import java.util.Objects;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.routing.WorkState;

/**
 * A refusal as a caller sees it.
 *
 * @param message the numbered message
 * @param text the full text
 * @param workState whether the work was done
 */
public record Refusal(ErrorMessage message, String text, WorkState workState) {
    /** Checks for missing parts. */
    public Refusal {
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(workState, "workState");
    }

    /**
     * Returns a refusal of a call that was not run.
     *
     * @param message the numbered message
     * @param arguments the values for its template
     */
    public static Refusal notRun(ErrorMessage message, Object... arguments) {
        return new Refusal(message, message.format(arguments), WorkState.NOT_RUN);
    }
}
