package org.oleanderspring.daemon.cli.query;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.oleanderspring.daemon.cli.DaemonClient;
import org.oleanderspring.daemon.cli.DaemonFlags;
import org.oleanderspring.daemon.cli.DraftFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a settings document and shows what it would change. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks a settings document and shows what it would change.")
public final class SettingsCheckCommand implements Callable<Integer>, DaemonFlags.Action {
    @Spec private CommandSpec mSpec;
    @Mixin private DaemonFlags mFlags;

    @Parameters(paramLabel = "FILE", description = "The settings document, in JSON.")
    private Path mFile;

    private String mDraft = "";

    /** Created by the command line parser, which sets the flags. */
    @SuppressWarnings("NullAway.Init")
    public SettingsCheckCommand() {}

    @Override
    public Integer call() throws Exception {
        mDraft = DraftFile.read(mSpec, mFile);
        return mFlags.run(this);
    }

    @Override
    public DaemonClient.Answer ask(DaemonClient client) {
        return client.post("/settings/check", mDraft);
    }

    @Override
    public String describe(JsonNode body) {
        StringBuilder text = new StringBuilder("valid");
        for (JsonNode line : body.path("differences")) {
            text.append('\n').append(line.asText());
        }
        return text.toString();
    }
}
