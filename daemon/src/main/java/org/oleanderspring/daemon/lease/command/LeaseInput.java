package org.oleanderspring.daemon.lease.command;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.lease.query.LeaseStatus;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;

/** What the ring of the lease duty holds. */
public sealed interface LeaseInput {
    /**
     * An event for the decider.
     *
     * @param event the event
     */
    record Event(LeaseEvent event) implements LeaseInput {}

    /**
     * The cells of the fleet changed.
     *
     * @param cells all cells with runners
     */
    record CellsListed(Set<CellName> cells) implements LeaseInput {
        /** Copies the set. */
        public CellsListed {
            cells = Set.copyOf(cells);
        }
    }

    /**
     * The live members changed.
     *
     * @param members the members that may hold leases
     */
    record MembersListed(List<MemberId> members) implements LeaseInput {
        /** Copies the list. */
        public MembersListed {
            members = List.copyOf(members);
        }
    }

    /**
     * The daemon stops and hands its leases over.
     *
     * @param done completes when nothing is held any more
     */
    record StopRequested(CompletableFuture<Boolean> done) implements LeaseInput {}

    /**
     * Somebody asks for the leases.
     *
     * @param reply receives them
     */
    record LeasesRequested(CompletableFuture<List<LeaseStatus>> reply) implements LeaseInput {}
}
