package org.oleanderspring.daemon.lease.command;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.oleanderspring.coordination.lease.command.LeaseDecision;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.query.ValueQueries;

/** Carries out those lease decisions that are calls to the key-value service. */
public final class LeaseStoreOperations {
    private final KeyValueCommands mCommands;
    private final ValueQueries mQueries;
    private final Consumer<LeaseEvent> mReplies;

    /**
     * Creates the calls.
     *
     * @param commands changes the service
     * @param queries reads the service
     * @param replies takes the replies, on a thread of the adapters; must not block
     */
    public LeaseStoreOperations(
            KeyValueCommands commands, ValueQueries queries, Consumer<LeaseEvent> replies) {
        mCommands = commands;
        mQueries = queries;
        mReplies = replies;
    }

    /**
     * Carries out a decision.
     *
     * @param decision the decision
     * @return whether it is a call to the service; others are left to the caller
     */
    public boolean carryOut(LeaseDecision decision) {
        if (decision instanceof LeaseDecision.GrantServiceLease grant) {
            replyTo(grant.operation(), mCommands.grantLease(grant.timeToLive()));
        } else if (decision instanceof LeaseDecision.RenewServiceLease renew) {
            replyTo(renew.operation(), mCommands.renewLease(renew.lease()));
        } else if (decision instanceof LeaseDecision.RevokeServiceLease revoke) {
            replyTo(revoke.operation(), mCommands.revokeLease(revoke.lease()));
        } else if (decision instanceof LeaseDecision.WriteKey write) {
            mCommands
                    .compareAndSwap(write.command())
                    .thenAccept(
                            result ->
                                    mReplies.accept(
                                            new LeaseEvent.KeyWriteReplied(
                                                    write.operation(), result)));
        } else if (decision instanceof LeaseDecision.ReadKey read) {
            mQueries.read(read.key())
                    .thenAccept(
                            result ->
                                    mReplies.accept(
                                            new LeaseEvent.KeyReadReplied(
                                                    read.operation(), result)));
        } else {
            return false;
        }
        return true;
    }

    private void replyTo(StoreOperationId operation, CompletableFuture<StoreLeaseResult> result) {
        result.thenAccept(
                lease -> mReplies.accept(new LeaseEvent.ServiceLeaseReplied(operation, lease)));
    }
}
