package org.oleanderspring.core.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.settings.command.SettingsDraft;
import org.oleanderspring.core.settings.command.SettingsDraft.DraftModelSetting;
import org.oleanderspring.core.settings.command.SettingsDraft.DraftValue;
import org.oleanderspring.core.settings.command.SettingsValidation;
import org.oleanderspring.core.settings.command.SettingsValidator;
import org.oleanderspring.core.settings.query.SettingsDifference;

class SettingsValidatorTest {
    private final SettingsValidator mValidator = new SettingsValidator();

    /** Guards against exceptions that are stored without a reason. */
    @Test
    void exceptionWithoutReasonIsRefused() {
        assertThat(
                problemsOf(
                        draft(
                                List.of(),
                                new DraftModelSetting(
                                        "headgate", new DraftValue("replicaLimit", 3), " "))),
                contains(ErrorMessage.EXCEPTION_WITHOUT_REASON));
    }

    /** Guards against ignoring a misspelled name, and against reporting only the first problem. */
    @Test
    void unknownNameAndBadRangeAreBothReported() {
        assertThat(
                problemsOf(
                        draft(
                                List.of(
                                        new DraftValue("replicaLimt", 3),
                                        new DraftValue("idleCostWeight", 101)))),
                contains(ErrorMessage.UNKNOWN_SETTING, ErrorMessage.SETTING_OUT_OF_RANGE));
    }

    /** Guards against an exception for a setting that cannot differ between models. */
    @Test
    void fleetWideSettingHasNoExceptions() {
        assertThat(
                problemsOf(
                        draft(
                                List.of(),
                                new DraftModelSetting(
                                        "headgate", new DraftValue("loadsPerSecond", 3), "test"))),
                contains(ErrorMessage.UNKNOWN_SETTING));
    }

    /** Guards against exceptions that affect other models, and against omitted differences. */
    @Test
    void exceptionAppliesToItsModelOnly() {
        SettingsValidation validation =
                mValidator.validate(
                        draft(
                                List.of(new DraftValue("replicaLimit", 1)),
                                new DraftModelSetting(
                                        "headgate",
                                        new DraftValue("replicaLimit", 3),
                                        "morning rush")));
        assertThat(validation, instanceOf(SettingsValidation.Valid.class));
        FleetSettings settings = ((SettingsValidation.Valid) validation).settings();
        assertThat(settings.number(), is(8L));
        assertThat(settings.value(SettingName.REPLICA_LIMIT, new ModelName("headgate")), is(3L));
        assertThat(settings.value(SettingName.REPLICA_LIMIT, new ModelName("hooks")), is(1L));
        assertThat(
                new SettingsDifference().between(FleetSettings.INITIAL, settings),
                equalTo(
                        List.of(
                                "replicaLimit: 2 -> 1 replicas",
                                "added exception for headgate: replicaLimit = 3"
                                        + " (morning rush)")));
    }

    private List<ErrorMessage> problemsOf(SettingsDraft draft) {
        SettingsValidation validation = mValidator.validate(draft);
        assertThat(validation, instanceOf(SettingsValidation.Invalid.class));
        return ((SettingsValidation.Invalid) validation)
                .problems().stream().map(SettingsValidation.SettingsProblem::message).toList();
    }

    private static SettingsDraft draft(List<DraftValue> defaults, DraftModelSetting... exceptions) {
        return new SettingsDraft(7, "operator", defaults, List.of(exceptions));
    }
}
