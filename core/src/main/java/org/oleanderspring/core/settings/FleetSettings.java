package org.oleanderspring.core.settings;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelName;

/** One accepted set of operators' settings. Immutable. */
public final class FleetSettings {
    /** The settings that a fleet has before an operator accepted any. */
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
     * @param number the number of this set, one higher than that of the set before
     * @param author who applied it
     * @param defaults the defaults that differ from the built-in ones
     * @param exceptions the exceptions
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

    /** Returns the number of this set. */
    public long number() {
        return mNumber;
    }

    /** Returns who applied this set. */
    public String author() {
        return mAuthor;
    }

    /** Returns the defaults that differ from the built-in ones. */
    public List<SettingValue> defaults() {
        return mDefaults;
    }

    /** Returns the exceptions. */
    public List<ModelSetting> exceptions() {
        return mExceptions;
    }

    /**
     * Returns the default of a setting.
     *
     * @param name the setting
     */
    public long value(SettingName name) {
        return mDefaultValues.getOrDefault(name, name.defaultValue());
    }

    /**
     * Returns the value of a setting for a model.
     *
     * @param name the setting
     * @param model the model or adapter
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
