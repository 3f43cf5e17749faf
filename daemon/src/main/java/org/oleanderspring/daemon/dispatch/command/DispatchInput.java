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

/** What the ring of the dispatch duty holds. */
public sealed interface DispatchInput {
    /**
     * An event for the decider.
     *
     * @param event the event
     */
    record Event(DispatchEvent event) implements DispatchInput {}

    /** Time has passed. */
    record Tick() implements DispatchInput {}

    /**
     * A call of this daemon needs a record.
     *
     * @param call the call
     * @param key its idempotency key
     * @param deadline when the result is no longer of use
     */
    record ClaimHere(CallId call, IdempotencyKey key, Instant deadline) implements DispatchInput {}

    /**
     * Another daemon asks for a record.
     *
     * @param from its peer address
     * @param claim the identity of the request
     * @param key the idempotency key
     * @param remaining the time after which the result is of no use
     */
    record ClaimThere(Address from, ClaimId claim, IdempotencyKey key, Duration remaining)
            implements DispatchInput {}

    /**
     * The owner of a partition replied to a claim of this daemon.
     *
     * @param claim the identity of the request
     * @param result the result
     */
    record ClaimReplied(ClaimId claim, ClaimResult result) implements DispatchInput {}

    /**
     * A recorded call ended, here or at another daemon.
     *
     * @param key its idempotency key
     * @param state how it ended
     */
    record OutcomeKnown(IdempotencyKey key, RecordState state) implements DispatchInput {}

    /**
     * The live members changed.
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
     * @param settings the settings in force
     */
    record SettingsInForce(FleetSettings settings) implements DispatchInput {}

    /**
     * Somebody asks for the partitions that this daemon should own.
     *
     * @param reply receives them
     */
    record PartitionsRequested(CompletableFuture<List<PartitionStatus>> reply)
            implements DispatchInput {}
}
