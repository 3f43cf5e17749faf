package org.oleanderspring.daemon.operator;

import java.util.List;
import org.oleanderspring.core.message.ErrorMessage;

/** The result of checking or applying a settings draft. */
public sealed interface SettingsReply {
    /**
     * The draft was accepted; its settings are in force at the responding daemon.
     *
     * @param number the number of the new settings
     */
    record Accepted(long number) implements SettingsReply {}

    /**
     * The draft is valid; it was only checked, not applied.
     *
     * @param differences one line for each difference from the current settings
     */
    record Checked(List<String> differences) implements SettingsReply {
        /** Copies the list. */
        public Checked {
            differences = List.copyOf(differences);
        }
    }

    /**
     * The draft was refused.
     *
     * @param message the numbered message
     * @param text the formatted text of the message
     */
    record Refused(ErrorMessage message, String text) implements SettingsReply {}
}
