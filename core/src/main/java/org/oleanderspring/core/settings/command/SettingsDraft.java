package org.oleanderspring.core.settings.command;

import java.util.List;
import java.util.Objects;

/**
 * The content of a settings document as written by an operator, before validation.
 *
 * @param basedOn the version number of the settings document that the operator edited
 * @param author the operator
 * @param defaults the values for all models without an exception
 * @param exceptions the settings that differ from the defaults for single models
 */
public record SettingsDraft(
        long basedOn,
        String author,
        List<DraftValue> defaults,
        List<DraftModelSetting> exceptions) {
    /** Makes immutable copies of the lists and rejects a null author. */
    public SettingsDraft {
        Objects.requireNonNull(author, "author");
        defaults = List.copyOf(defaults);
        exceptions = List.copyOf(exceptions);
    }

    /**
     * A setting that is identified by its key in the settings document.
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
     * @param model the name of the model or adapter; blank names fail the validation
     * @param setting the setting
     * @param reason the reason given by the operator; blank reasons fail the validation
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
