package org.oleanderspring.daemon.cli.command;

import java.time.Instant;
import java.util.concurrent.Callable;
import org.oleanderspring.daemon.cli.QuarantineFlags;
import org.oleanderspring.daemon.gateway.process.command.QuarantineWithdrawal;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Withdraws an entry of the quarantine. */
@Command(
        name = "withdraw",
        mixinStandardHelpOptions = true,
        description = "Lets requests with a pattern through to runners again.")
public final class QuarantineWithdrawCommand implements Callable<Integer> {
    @Mixin private QuarantineFlags mFlags;

    @Parameters(paramLabel = "ID", description = "Id of the pattern, as list and the log show it.")
    private String mId;

    /** Created by picocli, which sets the fields. */
    @SuppressWarnings("NullAway.Init")
    public QuarantineWithdrawCommand() {}

    @Override
    public Integer call() {
        return mFlags.run(
                (client, store) ->
                        new QuarantineWithdrawal(client, store).withdraw(mId, Instant.now()));
    }
}
