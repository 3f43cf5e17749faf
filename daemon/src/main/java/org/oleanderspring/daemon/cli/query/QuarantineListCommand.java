package org.oleanderspring.daemon.cli.query;

import java.util.concurrent.Callable;
import org.oleanderspring.daemon.cli.QuarantineFlags;
import org.oleanderspring.daemon.gateway.process.query.QuarantineReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Lists the prompts that the daemons on a hosted platform keep away from runners. */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        description =
                "Lists the entries with the runners that crashed and the requests at that time.")
public final class QuarantineListCommand implements Callable<Integer> {
    @Mixin private QuarantineFlags mFlags;

    /** Created by picocli, which sets the flags. */
    @SuppressWarnings("NullAway.Init")
    public QuarantineListCommand() {}

    @Override
    public Integer call() {
        return mFlags.run((client, store) -> new QuarantineReader(client, store).read().result());
    }
}
