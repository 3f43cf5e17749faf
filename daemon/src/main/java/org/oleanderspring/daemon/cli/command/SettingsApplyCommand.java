package org.oleanderspring.daemon.cli.command;

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

/** Applies a settings document. */
@Command(
        name = "apply",
        mixinStandardHelpOptions = true,
        description =
                "Applies a settings document. Its field basedOn names the number it changes;"
                        + " if another operator was faster, nothing is changed and the"
                        + " difference is shown.")
public final class SettingsApplyCommand implements Callable<Integer>, DaemonFlags.Action {
    @Spec private CommandSpec mSpec;
    @Mixin private DaemonFlags mFlags;

    @Parameters(paramLabel = "FILE", description = "The settings document, in JSON.")
    private Path mFile;

    private String mDraft = "";

    /** Created by the command line parser, which sets the flags. */
    @SuppressWarnings("NullAway.Init")
    public SettingsApplyCommand() {}

    @Override
    public Integer call() throws Exception {
        mDraft = DraftFile.read(mSpec, mFile);
        return mFlags.run(this);
    }

    @Override
    public DaemonClient.Answer ask(DaemonClient client) {
        return client.post("/settings", mDraft);
    }

    @Override
    public String describe(JsonNode body) {
        return "accepted as settings number " + body.path("number").asLong();
    }
}
