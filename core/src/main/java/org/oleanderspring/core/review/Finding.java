package org.oleanderspring.core.review;

import java.util.Objects;
import org.oleanderspring.core.message.ErrorMessage;

/**
 * Something in a configuration that operators should look at.
 *
 * @param message the kind of finding, with its number and severity
 * @param entry the entry of the configuration, such as {@code route r1}
 * @param text the message, with the values of the entry
 */
public record Finding(ErrorMessage message, String entry, String text) {
    /** Rejects null components. */
    public Finding {
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(text, "text");
    }

    /**
     * Creates a finding whose message names the entry first.
     *
     * @param message the kind of finding
     * @param entry the entry of the configuration
     * @param values the further values of the message's template
     */
    public static Finding of(ErrorMessage message, String entry, Object... values) {
        Object[] arguments = new Object[values.length + 1];
        arguments[0] = entry;
        System.arraycopy(values, 0, arguments, 1, values.length);
        return new Finding(message, entry, message.format(arguments));
    }
}
