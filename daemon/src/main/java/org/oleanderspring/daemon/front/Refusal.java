package org.oleanderspring.daemon.front;

import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.routing.WorkState;

/**
 * The refusal of a call, as sent to the caller.
 *
 * @param message the numbered message
 * @param text the formatted text of the message
 * @param workState whether the call was executed
 * @param readyIn the time after which the same call may succeed; null if unknown
 */
public record Refusal(
        ErrorMessage message, String text, WorkState workState, @Nullable Duration readyIn) {
    /** Rejects null in the components that require a value. */
    public Refusal {
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(workState, "workState");
    }

    /**
     * Creates a refusal without a time after which the call may succeed.
     *
     * @param message the numbered message
     * @param text the formatted text of the message
     * @param workState whether the call was executed
     */
    public Refusal(ErrorMessage message, String text, WorkState workState) {
        this(message, text, workState, null);
    }

    /**
     * Returns a refusal of a call that was not executed.
     *
     * @param message the numbered message
     * @param arguments the arguments of the message's template
     */
    public static Refusal notRun(ErrorMessage message, Object... arguments) {
        return new Refusal(message, message.format(arguments), WorkState.NOT_RUN);
    }
}
