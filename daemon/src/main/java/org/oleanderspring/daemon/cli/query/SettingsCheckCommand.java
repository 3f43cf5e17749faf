package org.oleanderspring.daemon.cli.query;

import com.fasterxml.jackson.databind.JsonNode;
import org.oleanderspring.daemon.cli.DraftCommand;
import picocli.CommandLine.Command;

/** Checks a settings draft and shows what it would change, without applying it. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks a settings document and shows what it would change.")
public final class SettingsCheckCommand extends DraftCommand {
    /** Created by picocli. */
    public SettingsCheckCommand() {
        super("/settings/check");
    }

    @Override
    public String format(JsonNode body) {
        StringBuilder text = new StringBuilder("valid");
        for (JsonNode line : body.path("differences")) {
            text.append('\n').append(line.asText());
        }
        return text.toString();
    }
}
