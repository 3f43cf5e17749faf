package org.oleanderspring.daemon.operator;

import java.util.List;
import org.oleanderspring.core.message.ErrorMessage;

/** What became of settings that an operator sent. */
public sealed interface SettingsReply {
    /**
     * The settings were accepted and are in force at the daemon that answers.
     *
     * @param number their number
     */
    record Accepted(long number) implements SettingsReply {}

    /**
     * The settings are valid and were not applied.
     *
     * @param differences one line for each difference to the settings in force
     */
    record Checked(List<String> differences) implements SettingsReply {
        /** Copies the list. */
        public Checked {
            differences = List.copyOf(differences);
        }
    }

    /**
     * The settings were not accepted.
     *
     * @param message the kind of refusal
     * @param text the full text
     */
    record Refused(ErrorMessage message, String text) implements SettingsReply {}
}
