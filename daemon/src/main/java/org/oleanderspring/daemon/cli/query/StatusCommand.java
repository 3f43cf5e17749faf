package org.oleanderspring.daemon.cli.query;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Callable;
import org.oleanderspring.daemon.cli.DaemonClient;
import org.oleanderspring.daemon.cli.DaemonFlags;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the members, the plan of each cell with its holder, and the current settings numbers. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description =
                "Shows what is loaded where and why, who holds which lease, and which"
                        + " settings number each daemon has.")
public final class StatusCommand implements Callable<Integer>, DaemonFlags.Action {
    @Mixin private DaemonFlags mFlags;

    /** Created by picocli, which sets the flags. */
    @SuppressWarnings("NullAway.Init")
    public StatusCommand() {}

    @Override
    public Integer call() throws Exception {
        return mFlags.run(this);
    }

    @Override
    public DaemonClient.Result send(DaemonClient client) {
        return client.get("/status");
    }

    @Override
    public String format(JsonNode body) {
        StringBuilder text = new StringBuilder();
        text.append("daemon ").append(body.path("daemon").asText()).append('\n');
        text.append("settings number ").append(body.path("settings").path("number").asLong());
        text.append(body.path("settings").path("mayDecide").asBoolean() ? "" : ", may be old");
        text.append('\n');
        for (JsonNode member : body.path("members")) {
            text.append(
                    String.format(
                            "member %s at %s, %s, failure domain %s, settings number %s%n",
                            member.path("id").asText(),
                            member.path("peerAddress").asText(),
                            member.path("state").asText(),
                            member.path("failureDomain").asText(),
                            member.path("settingsNumber").asText("?")));
        }
        for (JsonNode cell : body.path("cells")) {
            formatCell(cell, text);
        }
        return text.toString().stripTrailing();
    }

    private static void formatCell(JsonNode cell, StringBuilder text) {
        text.append(
                String.format(
                        "cell %s held by %s in term %d, plan number %d%n",
                        cell.path("cell").asText(),
                        cell.path("holder").asText(),
                        cell.path("term").asLong(),
                        cell.path("planNumber").asLong()));
        for (JsonNode slot : cell.path("slots")) {
            text.append(
                    String.format(
                            "  %s on %s: %s, %d MB, %s%n",
                            slot.path("model").asText(),
                            slot.path("endpoint").asText(),
                            slot.path("state").asText(),
                            slot.path("memoryMegabytes").asLong(),
                            slot.path("reason").asText()));
        }
    }
}
