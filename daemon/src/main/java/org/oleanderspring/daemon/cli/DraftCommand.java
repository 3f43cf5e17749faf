package org.oleanderspring.daemon.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Base class of the subcommands that send a settings draft from a file to a daemon. */
public abstract class DraftCommand implements Callable<Integer>, DaemonFlags.Action {
    private final String mRequestPath;

    @Spec private CommandSpec mSpec;
    @Mixin private DaemonFlags mFlags;

    @Parameters(paramLabel = "FILE", description = "The settings document, in JSON.")
    private Path mFile;

    private String mDraft = "";

    /**
     * Creates the subcommand; picocli sets the flags.
     *
     * @param path the HTTP path to which the draft is sent
     */
    @SuppressWarnings("NullAway.Init")
    protected DraftCommand(String path) {
        mRequestPath = path;
    }

    @Override
    public final Integer call() throws Exception {
        mDraft = DraftFile.read(mSpec, mFile);
        return mFlags.run(this);
    }

    @Override
    public final DaemonClient.Result send(DaemonClient client) {
        return client.post(mRequestPath, mDraft);
    }
}
