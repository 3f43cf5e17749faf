package org.oleanderspring.daemon.gateway.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.QuarantineEntry;

class QuarantineEntryCodecTest {
    private static final Instant UNTIL = Instant.parse("2026-12-05T12:00:00.123Z");
    private static final PromptPattern PATTERN =
            new PromptPattern(List.of(new PromptPart("5c1e"), new PromptPart("91bd")));

    private static QuarantineEntry entry(boolean withdrawn, String runner, String request) {
        return new QuarantineEntry(
                PATTERN,
                3,
                withdrawn,
                !withdrawn,
                2,
                UNTIL,
                List.of(new EndpointId(runner), new EndpointId("i-2@7")),
                List.of(request));
    }

    /** Guards against a decision that a restarted daemon reads differently. */
    @Test
    void entriesAreDecodedAsTheyWereEncoded() {
        List<QuarantineEntry> entries =
                List.of(entry(false, "i-1@5", "c5d7"), entry(true, "i-1@5", "c5d7"));
        byte[] bytes = QuarantineEntryCodec.encode(entries);
        assertThat(QuarantineEntryCodec.decode(bytes), is(Optional.of(entries)));
        assertThat(
                QuarantineEntryCodec.decode(QuarantineEntryCodec.encode(List.of())),
                is(Optional.of(List.of())));
    }

    /** Guards against a request whose name contains the separators and spoils the whole value. */
    @Test
    void separatorsInNamesOfOthersDoNoHarm() {
        byte[] bytes = QuarantineEntryCodec.encode(List.of(entry(false, "i,1\t@5", "a\nb")));
        assertThat(
                QuarantineEntryCodec.decode(bytes),
                is(Optional.of(List.of(entry(false, "i_1_@5", "a_b")))));
    }

    /** Guards against a value of another writer that ends the duty instead of being reported. */
    @Test
    void otherTextIsNotDecoded() {
        for (String text :
                List.of(
                        "",
                        "quarantine 1\n",
                        "quarantine 2\nx",
                        "quarantine 2\na\t0\tx\tx\t1\ty\t\t")) {
            assertThat(QuarantineEntryCodec.decode(text.getBytes(UTF_8)), is(Optional.empty()));
        }
    }
}
