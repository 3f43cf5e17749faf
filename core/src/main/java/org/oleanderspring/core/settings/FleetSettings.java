package org.oleanderspring.core.settings;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelName;

/**
 * One accepted version of the settings: defaults for the fleet and exceptions for single models.
 * Immutable.
 */
public final class FleetSettings {
    /** The settings that apply before an operator has applied any. */
    public static final FleetSettings INITIAL = new FleetSettings(0, "", List.of(), List.of());

    private final long mNumber;
    private final String mAuthor;
    private final List<SettingValue> mDefaults;
    private final List<ModelSetting> mExceptions;
    private final EnumMap<SettingName, Long> mDefaultValues = new EnumMap<>(SettingName.class);
    private final Map<ModelName, EnumMap<SettingName, Long>> mModelValues = new HashMap<>();

    /**
     * Creates settings.
     *
     * @param number the version number, one higher than that of the previous version
     * @param author the operator who applied the settings
     * @param defaults the defaults that differ from the built-in ones
     * @param exceptions the settings that differ from the defaults for single models
     */
    public FleetSettings(
            long number,
            String author,
            List<SettingValue> defaults,
            List<ModelSetting> exceptions) {
        if (number < 0) {
            throw new IllegalArgumentException("settings number is negative: " + number);
        }
        mNumber = number;
        mAuthor = Objects.requireNonNull(author, "author");
        mDefaults = List.copyOf(defaults);
        mExceptions = List.copyOf(exceptions);
        for (SettingValue setting : mDefaults) {
            mDefaultValues.put(setting.name(), setting.value());
        }
        for (ModelSetting exception : mExceptions) {
            mModelValues
                    .computeIfAbsent(exception.model(), model -> new EnumMap<>(SettingName.class))
                    .put(exception.setting().name(), exception.setting().value());
        }
    }

    /** Returns the version number; 0 before an operator has applied any settings. */
    public long number() {
        return mNumber;
    }

    /** Returns the operator who applied the settings; empty for the initial settings. */
    public String author() {
        return mAuthor;
    }

    /** Returns the defaults that differ from the built-in ones. */
    public List<SettingValue> defaults() {
        return mDefaults;
    }

    /** Returns the settings that differ from the defaults for single models. */
    public List<ModelSetting> exceptions() {
        return mExceptions;
    }

    /**
     * Returns the value of a setting for the fleet, in the unit of the setting.
     *
     * @param name the setting
     */
    public long value(SettingName name) {
        return mDefaultValues.getOrDefault(name, name.defaultValue());
    }

    /**
     * Returns the value of a setting for a model, in the unit of the setting. Without an exception
     * for the model this is the value for the fleet.
     *
     * @param name the setting
     * @param model the name of the model or adapter
     */
    public long value(SettingName name, ModelName model) {
        EnumMap<SettingName, Long> values = mModelValues.get(model);
        @Nullable Long value = values == null ? null : values.get(name);
        return value == null ? value(name) : value;
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof FleetSettings settings
                && mNumber == settings.mNumber
                && mAuthor.equals(settings.mAuthor)
                && mDefaults.equals(settings.mDefaults)
                && mExceptions.equals(settings.mExceptions);
    }

    @Override
    public int hashCode() {
        return Objects.hash(mNumber, mAuthor, mDefaults, mExceptions);
    }
}
