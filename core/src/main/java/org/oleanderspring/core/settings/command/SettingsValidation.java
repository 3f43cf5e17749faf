package org.oleanderspring.core.settings.command;

import java.util.List;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.settings.FleetSettings;

/** The result of validating a draft. */
public sealed interface SettingsValidation {
    /**
     * The draft is valid.
     *
     * @param settings the resulting settings, with the next version number
     */
    record Valid(FleetSettings settings) implements SettingsValidation {}

    /**
     * The draft is invalid.
     *
     * @param problems all problems of the draft, in document order
     */
    record Invalid(List<SettingsProblem> problems) implements SettingsValidation {
        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * One violated rule.
     *
     * @param message the kind of the problem
     * @param text the formatted message
     */
    record SettingsProblem(ErrorMessage message, String text) {}
}
