package org.oleanderspring.daemon.front;

import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.routing.WorkState;

/**
 * A refusal as a caller sees it.
 *
 * @param message the numbered message
 * @param text the full text
 * @param workState whether the work was done
 * @param readyIn when the same call may succeed; null if that is not known
 */
public record Refusal(
        ErrorMessage message, String text, WorkState workState, @Nullable Duration readyIn) {
    /** Checks for missing parts. */
    public Refusal {
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(workState, "workState");
    }

    /**
     * Creates a refusal that does not know when the call may succeed.
     *
     * @param message the numbered message
     * @param text the full text
     * @param workState whether the work was done
     */
    public Refusal(ErrorMessage message, String text, WorkState workState) {
        this(message, text, workState, null);
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
