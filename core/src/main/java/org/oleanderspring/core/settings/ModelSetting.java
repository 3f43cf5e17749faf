package org.oleanderspring.core.settings;

import java.util.Objects;
import org.oleanderspring.core.fleet.ModelName;

/**
 * A setting whose value for one model differs from the default of the fleet. The settings document
 * calls it an exception.
 *
 * @param model the name of the model or adapter
 * @param setting the setting and its value
 * @param reason the reason given by the operator; not blank
 */
public record ModelSetting(ModelName model, SettingValue setting, String reason) {
    /** Rejects a blank reason and a setting that cannot differ between models. */
    public ModelSetting {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(setting, "setting");
        if (reason.isBlank()) {
            throw new IllegalArgumentException("the exception for " + model + " has no reason");
        }
        if (!setting.name().isPerModel()) {
            throw new IllegalArgumentException(
                    setting.name().key() + " cannot differ between models");
        }
    }
}
