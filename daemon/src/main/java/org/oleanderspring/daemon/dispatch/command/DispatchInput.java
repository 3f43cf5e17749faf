package org.oleanderspring.daemon.dispatch.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.coordination.dispatch.command.DispatchEvent;
import org.oleanderspring.coordination.dispatch.query.PartitionStatus;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.settings.FleetSettings;

/** The events in the ring of the dispatch duty. */
public sealed interface DispatchInput {
    /**
     * An event that is passed to the decider.
     *
     * @param event the event
     */
    record Event(DispatchEvent event) implements DispatchInput {}

    /** A periodic timer tick. */
    record Tick() implements DispatchInput {}

    /**
     * A call accepted by this daemon needs a dispatch record before it may start.
     *
     * @param call the call
     * @param key its idempotency key
     * @param deadline the time after which the result is useless, on this daemon's clock
     */
    record LocalClaimRequested(CallId call, IdempotencyKey key, Instant deadline)
            implements DispatchInput {}

    /**
     * Another daemon claims a dispatch record in a partition of this daemon.
     *
     * @param from the peer address of that daemon
     * @param claim the identity of the claim
     * @param key the idempotency key
     * @param remaining the time left until the deadline of the call
     */
    record RemoteClaimRequested(Address from, ClaimId claim, IdempotencyKey key, Duration remaining)
            implements DispatchInput {}

    /**
     * The owner of a partition replied to a claim of this daemon.
     *
     * @param claim the identity of the claim
     * @param result the result
     */
    record ClaimReplied(ClaimId claim, ClaimResult result) implements DispatchInput {}

    /**
     * A recorded call ended at this daemon or at another one.
     *
     * @param key its idempotency key
     * @param state the final state of the record
     */
    record OutcomeReported(IdempotencyKey key, RecordState state) implements DispatchInput {}

    /**
     * The members that accept new work changed.
     *
     * @param members the members that may own partitions
     */
    record MembersListed(List<MemberId> members) implements DispatchInput {
        /** Copies the list. */
        public MembersListed {
            members = List.copyOf(members);
        }
    }

    /**
     * The operators' settings changed.
     *
     * @param settings the current settings
     */
    record SettingsChanged(FleetSettings settings) implements DispatchInput {}

    /**
     * A query for the status of the partitions that this daemon should own.
     *
     * @param reply completed on the dispatch thread
     */
    record PartitionsRequested(CompletableFuture<List<PartitionStatus>> reply)
            implements DispatchInput {}
}
