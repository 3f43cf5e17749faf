package org.oleanderspring.daemon.lease.command;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.oleanderspring.coordination.lease.command.LeaseDecision;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.query.ValueQueries;

/** Executes the lease decisions that are operations on the key-value service. */
public final class LeaseStoreOperations {
    private final KeyValueCommands mCommands;
    private final ValueQueries mQueries;
    private final Consumer<LeaseEvent> mReplies;

    /**
     * Creates an executor without operations in flight.
     *
     * @param commands changes the key-value service
     * @param queries reads the key-value service
     * @param replies receives the replies on an I/O thread of the platform adapter; must not block
     */
    public LeaseStoreOperations(
            KeyValueCommands commands, ValueQueries queries, Consumer<LeaseEvent> replies) {
        mCommands = commands;
        mQueries = queries;
        mReplies = replies;
    }

    /**
     * Starts the operation of a decision without waiting for its reply.
     *
     * @param decision the decision
     * @return true if the decision is such an operation; false if nothing was done
     */
    public boolean execute(LeaseDecision decision) {
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
