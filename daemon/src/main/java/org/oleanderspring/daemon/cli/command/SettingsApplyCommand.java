package org.oleanderspring.daemon.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.oleanderspring.daemon.cli.DraftCommand;
import picocli.CommandLine.Command;

/** Applies a settings draft. */
@Command(
        name = "apply",
        mixinStandardHelpOptions = true,
        description =
                "Applies a settings document. Its field basedOn gives the settings number on which"
                    + " it is based; if the settings have changed since, nothing is changed and the"
                    + " difference is shown.")
public final class SettingsApplyCommand extends DraftCommand {
    /** Created by picocli. */
    public SettingsApplyCommand() {
        super("/settings");
    }

    @Override
    public String format(JsonNode body) {
        return "accepted as settings number " + body.path("number").asLong();
    }
}
