package org.oleanderspring.core.settings;

import java.util.Objects;
import org.oleanderspring.core.fleet.ModelName;

/**
 * A setting that differs from the default for one model.
 *
 * @param model the model or adapter
 * @param setting the setting and its value
 * @param reason why, as written by an operator
 */
public record ModelSetting(ModelName model, SettingValue setting, String reason) {
    /** Checks that there is a reason and that the setting may differ by model. */
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
