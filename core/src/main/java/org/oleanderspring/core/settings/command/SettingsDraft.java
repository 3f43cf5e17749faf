package org.oleanderspring.core.settings.command;

import java.util.List;
import java.util.Objects;

/**
 * Settings as an operator wrote them, not yet checked.
 *
 * @param basedOn the number of the set that the operator changed
 * @param author who wrote it
 * @param defaults the defaults
 * @param exceptions the exceptions
 */
public record SettingsDraft(
        long basedOn,
        String author,
        List<DraftValue> defaults,
        List<DraftModelSetting> exceptions) {
    /** Copies the lists. */
    public SettingsDraft {
        Objects.requireNonNull(author, "author");
        defaults = List.copyOf(defaults);
        exceptions = List.copyOf(exceptions);
    }

    /**
     * A setting by the name that was written.
     *
     * @param name the name
     * @param value the value
     */
    public record DraftValue(String name, long value) {
        /** Checks for a missing name. */
        public DraftValue {
            Objects.requireNonNull(name, "name");
        }
    }

    /**
     * An exception as written.
     *
     * @param model the model or adapter
     * @param setting the setting
     * @param reason the reason; may be blank in a draft
     */
    public record DraftModelSetting(String model, DraftValue setting, String reason) {
        /** Checks for missing parts. */
        public DraftModelSetting {
            Objects.requireNonNull(model, "model");
            Objects.requireNonNull(setting, "setting");
            Objects.requireNonNull(reason, "reason");
        }
    }
}
