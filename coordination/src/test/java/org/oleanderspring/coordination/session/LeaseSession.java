package org.oleanderspring.coordination.session;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import org.oleanderspring.coordination.lease.LeaseCandidacy;
import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.lease.LeaseOptions;
import org.oleanderspring.coordination.lease.command.DefaultLeaseDecider;
import org.oleanderspring.coordination.lease.command.LeaseDecision;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/**
 * A scripted session of the lease decider of daemon {@code self} with the default options. {@code
 * compete} with the names of leases makes the daemon the preferred candidate, of rank 0, for these
 * leases, {@code stop} requests a planned stop, and {@code status} prints the leases.
 */
final class LeaseSession extends ScriptedSession {
    private final DefaultLeaseDecider mDecider =
            new DefaultLeaseDecider(
                    new MemberId("self"),
                    name -> new StoreKey("/cells/" + name),
                    LeaseOptions.DEFAULT,
                    new Random(1));

    @Override
    void tick() {
        decide(new LeaseEvent.TimerFired());
    }

    @Override
    void command(String[] words) {
        switch (words[0]) {
            case "compete" -> {
                List<LeaseCandidacy> candidacies =
                        Arrays.stream(words)
                                .skip(1)
                                .map(name -> new LeaseCandidacy(new LeaseName(name), 0))
                                .toList();
                decide(new LeaseEvent.CandidaciesChanged(candidacies));
            }
            case "stop" -> decide(new LeaseEvent.StopRequested());
            case "status" ->
                    mDecider.leases(mTime.now()).forEach(status -> mOutput.add(status.toString()));
            default ->
                    throw new IllegalArgumentException(
                            "unknown command " + words[0] + "; allowed: compete, stop, status");
        }
    }

    private void decide(LeaseEvent event) {
        mDecider.decide(event, mTime.now()).forEach(this::execute);
    }

    private void execute(LeaseDecision decision) {
        if (decision instanceof LeaseDecision.WriteKey write) {
            String content = new String(write.command().bytes(), StandardCharsets.UTF_8);
            enqueue(
                    "write "
                            + write.command().key()
                            + " at "
                            + write.command().expected().value()
                            + ": "
                            + content,
                    () -> mService.write(write.command()),
                    new WriteResult.Unavailable("down"),
                    new WriteResult.Unknown("no reply"),
                    result -> decide(new LeaseEvent.KeyWriteReplied(write.operation(), result)));
        } else if (decision instanceof LeaseDecision.ReadKey read) {
            enqueue(
                    "read " + read.key(),
                    () -> mService.read(read.key()),
                    new ReadResult.Unavailable("down"),
                    new ReadResult.Unavailable("no reply"),
                    result -> decide(new LeaseEvent.KeyReadReplied(read.operation(), result)));
        } else if (decision instanceof LeaseDecision.GrantServiceLease grant) {
            enqueueLeaseOperation(
                    "grant", grant.operation(), () -> mService.grant(grant.timeToLive()));
        } else if (decision instanceof LeaseDecision.RenewServiceLease renew) {
            enqueueLeaseOperation("renew", renew.operation(), () -> mService.renew(renew.lease()));
        } else if (decision instanceof LeaseDecision.RevokeServiceLease revoke) {
            enqueueLeaseOperation(
                    "revoke", revoke.operation(), () -> mService.revoke(revoke.lease()));
        } else {
            mOutput.add(decision.toString());
        }
    }

    /**
     * Adds an operation on a lease of the key-value service. {@link StoreLeaseResult.Unavailable}
     * also covers a lost reply.
     */
    private void enqueueLeaseOperation(
            String name, StoreOperationId operation, Supplier<StoreLeaseResult> effect) {
        StoreLeaseResult unavailable = new StoreLeaseResult.Unavailable("no reply");
        enqueue(
                name,
                effect,
                unavailable,
                unavailable,
                result -> decide(new LeaseEvent.ServiceLeaseReplied(operation, result)));
    }
}
