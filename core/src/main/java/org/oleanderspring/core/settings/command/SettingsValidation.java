package org.oleanderspring.core.settings.command;

import java.util.List;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.settings.FleetSettings;

/** Whether a draft can be accepted. */
public sealed interface SettingsValidation {
    /**
     * The draft follows all rules.
     *
     * @param settings the settings with the next number
     */
    record Valid(FleetSettings settings) implements SettingsValidation {}

    /**
     * The draft breaks rules.
     *
     * @param problems all that is wrong, in the order of the draft
     */
    record Invalid(List<SettingsProblem> problems) implements SettingsValidation {
        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * One broken rule.
     *
     * @param message the kind of problem
     * @param text the full text
     */
    record SettingsProblem(ErrorMessage message, String text) {}
}
