package org.oleanderspring.daemon.cli.query;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Callable;
import org.oleanderspring.daemon.cli.DaemonClient;
import org.oleanderspring.daemon.cli.DaemonFlags;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the entry directory of a daemon: the addresses that callers may use. */
@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        description = "Asks a daemon which addresses callers may use, and for how long.")
public final class EntryCommand implements Callable<Integer>, DaemonFlags.Action {
    @Mixin private DaemonFlags mFlags;

    /** Created by picocli, which sets the flags. */
    @SuppressWarnings("NullAway.Init")
    public EntryCommand() {}

    @Override
    public Integer call() throws Exception {
        return mFlags.run(this);
    }

    @Override
    public DaemonClient.Result send(DaemonClient client) {
        return client.get("/v1/entries");
    }

    @Override
    public String format(JsonNode body) {
        StringBuilder text = new StringBuilder();
        for (JsonNode entry : body.path("entries")) {
            text.append(entry.path("address").asText())
                    .append("  ")
                    .append(entry.path("failureDomain").asText())
                    .append('\n');
        }
        return text + "keep for " + body.path("keepSeconds").asLong() + " seconds";
    }
}
