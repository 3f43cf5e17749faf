package org.oleanderspring.core.settings;

import java.util.Objects;

/**
 * A setting with a value in its permitted range.
 *
 * @param name the setting
 * @param value the value, in the unit of the setting
 */
public record SettingValue(SettingName name, long value) {
    /** Rejects a value outside of the permitted range. */
    public SettingValue {
        Objects.requireNonNull(name, "name");
        if (!name.allows(value)) {
            throw new IllegalArgumentException(name.key() + " is out of range: " + value);
        }
    }
}
