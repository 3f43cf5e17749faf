package org.oleanderspring.daemon.cli.query;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Callable;
import org.oleanderspring.daemon.cli.DaemonClient;
import org.oleanderspring.daemon.cli.DaemonFlags;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Lists the latest accepted changes of the settings, newest first. */
@Command(
        name = "history",
        mixinStandardHelpOptions = true,
        description = "Lists the latest accepted settings: number, author and what changed.")
public final class SettingsHistoryCommand implements Callable<Integer>, DaemonFlags.Action {
    @Mixin private DaemonFlags mFlags;

    /** Created by picocli, which sets the flags. */
    @SuppressWarnings("NullAway.Init")
    public SettingsHistoryCommand() {}

    @Override
    public Integer call() throws Exception {
        return mFlags.run(this);
    }

    @Override
    public DaemonClient.Result send(DaemonClient client) {
        return client.get("/settings/history");
    }

    @Override
    public String format(JsonNode body) {
        StringBuilder text = new StringBuilder();
        for (JsonNode entry : body.path("history")) {
            text.append(entry.path("number").asLong())
                    .append("  ")
                    .append(entry.path("author").asText())
                    .append('\n');
            for (JsonNode line : entry.path("changes")) {
                text.append("    ").append(line.asText()).append('\n');
            }
        }
        return text.toString().stripTrailing();
    }
}
