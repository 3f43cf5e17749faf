package org.oleanderspring.daemon.cli.query;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Callable;
import org.oleanderspring.daemon.cli.DaemonClient;
import org.oleanderspring.daemon.cli.DaemonFlags;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the current settings, in the form of a draft. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Shows the settings in force at a daemon, as a document that apply takes.")
public final class SettingsShowCommand implements Callable<Integer>, DaemonFlags.Action {
    @Mixin private DaemonFlags mFlags;

    /** Created by picocli, which sets the flags. */
    @SuppressWarnings("NullAway.Init")
    public SettingsShowCommand() {}

    @Override
    public Integer call() throws Exception {
        return mFlags.run(this);
    }

    @Override
    public DaemonClient.Result send(DaemonClient client) {
        return client.get("/settings");
    }

    @Override
    public String format(JsonNode body) {
        return body.toPrettyString();
    }
}
