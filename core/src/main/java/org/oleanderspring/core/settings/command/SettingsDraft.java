package org.oleanderspring.core.settings.command;

import java.util.List;
import java.util.Objects;

/**
 * Settings as written by an operator, before validation.
 *
 * @param basedOn the version number of the settings that the operator edited
 * @param author the operator
 * @param defaults the defaults of the fleet
 * @param exceptions the settings that differ from the defaults for single models
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
     * A setting that is identified by the key in the document.
     *
     * @param name the key
     * @param value the value
     */
    public record DraftValue(String name, long value) {
        /** Rejects a null name. */
        public DraftValue {
            Objects.requireNonNull(name, "name");
        }
    }

    /**
     * A setting for one model.
     *
     * @param model the name of the model or adapter; may be blank
     * @param setting the setting
     * @param reason the reason given by the operator; may be blank
     */
    public record DraftModelSetting(String model, DraftValue setting, String reason) {
        /** Rejects null components. */
        public DraftModelSetting {
            Objects.requireNonNull(model, "model");
            Objects.requireNonNull(setting, "setting");
            Objects.requireNonNull(reason, "reason");
        }
    }
}
