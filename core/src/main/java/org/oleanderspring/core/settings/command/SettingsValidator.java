package org.oleanderspring.core.settings.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.settings.FleetSettings;
import org.oleanderspring.core.settings.ModelSetting;
import org.oleanderspring.core.settings.SettingName;
import org.oleanderspring.core.settings.SettingValue;
import org.oleanderspring.core.settings.command.SettingsValidation.SettingsProblem;

/** Validates drafts and converts valid ones into settings. */
public final class SettingsValidator {
    /**
     * Validates a draft and reports all its problems at once.
     *
     * @param draft the draft written by an operator
     * @return the settings, or all problems
     */
    public SettingsValidation validate(SettingsDraft draft) {
        List<SettingsProblem> problems = new ArrayList<>();
        List<SettingValue> defaults = new ArrayList<>();
        for (SettingsDraft.DraftValue value : draft.defaults()) {
            validateValue(value, false, problems).ifPresent(defaults::add);
        }
        List<ModelSetting> exceptions = new ArrayList<>();
        for (SettingsDraft.DraftModelSetting exception : draft.exceptions()) {
            validateModelSetting(exception, problems).ifPresent(exceptions::add);
        }
        if (!problems.isEmpty()) {
            return new SettingsValidation.Invalid(problems);
        }
        return new SettingsValidation.Valid(
                new FleetSettings(draft.basedOn() + 1, draft.author(), defaults, exceptions));
    }

    private Optional<ModelSetting> validateModelSetting(
            SettingsDraft.DraftModelSetting exception, List<SettingsProblem> problems) {
        Optional<SettingValue> value = validateValue(exception.setting(), true, problems);
        if (exception.reason().isBlank() || exception.model().isBlank()) {
            problems.add(problem(ErrorMessage.EXCEPTION_WITHOUT_REASON, exception.model()));
            return Optional.empty();
        }
        return value.map(
                setting ->
                        new ModelSetting(
                                new ModelName(exception.model()), setting, exception.reason()));
    }

    private Optional<SettingValue> validateValue(
            SettingsDraft.DraftValue draft, boolean forModel, List<SettingsProblem> problems) {
        Optional<SettingName> name = SettingName.ofKey(draft.name());
        if (name.isEmpty() || (forModel && !name.get().isPerModel())) {
            problems.add(problem(ErrorMessage.UNKNOWN_SETTING, draft.name()));
            return Optional.empty();
        }
        SettingName setting = name.get();
        if (!setting.allows(draft.value())) {
            problems.add(
                    problem(
                            ErrorMessage.SETTING_OUT_OF_RANGE,
                            setting.key(),
                            Long.toString(draft.value()),
                            Long.toString(setting.minimum()),
                            Long.toString(setting.maximum()),
                            setting.unit()));
            return Optional.empty();
        }
        return Optional.of(new SettingValue(setting, draft.value()));
    }

    private static SettingsProblem problem(ErrorMessage message, Object... arguments) {
        return new SettingsProblem(message, message.format(arguments));
    }
}
