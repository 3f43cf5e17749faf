package org.oleanderspring.daemon.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.settings.FleetSettings;
import org.oleanderspring.core.settings.ModelSetting;
import org.oleanderspring.core.settings.SettingName;
import org.oleanderspring.core.settings.SettingValue;
import org.oleanderspring.core.settings.command.SettingsDraft;

class SettingsCodecTest {
    /** Guards against settings that change in encoding or decoding. */
    @Test
    void documentSurvivesEncoding() {
        FleetSettings settings =
                new FleetSettings(
                        4,
                        "operator",
                        List.of(new SettingValue(SettingName.REPLICA_LIMIT, 3)),
                        List.of(
                                new ModelSetting(
                                        new ModelName("headgate"),
                                        new SettingValue(SettingName.REPLICA_LIMIT, 5),
                                        "morning rush")));
        SettingsDocument document =
                SettingsDocument.INITIAL.followedBy(
                        settings, List.of("replicaLimit: 2 -> 3 replicas"));
        assertThat(
                SettingsCodec.decode(SettingsCodec.encode(document)),
                is(new DecodedDocument.Valid<>(document)));
    }

    /**
     * Guards against drafts whose misspelled, duplicate or mistyped fields are silently ignored.
     */
    @Test
    void malformedDraftsAreReported() {
        for (String draft :
                List.of(
                        "",
                        "{",
                        "[]",
                        "{\"basedOn\":-1}",
                        "{\"basedOn\":0,\"default\":{}}",
                        "{\"basedOn\":0,\"defaults\":{\"replicaLimit\":\"2\"}}",
                        "{\"basedOn\":0,\"defaults\":{\"replicaLimit\":1,\"replicaLimit\":2}}",
                        "{\"basedOn\":0,\"exceptions\":{}}")) {
            DecodedDocument<SettingsDraft> decoded =
                    SettingsCodec.decodeDraft(draft.getBytes(StandardCharsets.UTF_8));
            assertThat(draft, decoded, instanceOf(DecodedDocument.Malformed.class));
        }
    }
}
