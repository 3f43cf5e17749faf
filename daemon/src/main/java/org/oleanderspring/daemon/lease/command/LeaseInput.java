package org.oleanderspring.daemon.lease.command;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.lease.query.LeaseStatus;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;

/** The events in the ring of the lease duty. */
public sealed interface LeaseInput {
    /**
     * An event that is passed to the decider.
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
     * The members that accept new work changed.
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
     * The daemon shuts down and has to release its leases.
     *
     * @param done completed on the lease thread when this daemon holds no lease any more
     */
    record StopRequested(CompletableFuture<Boolean> done) implements LeaseInput {}

    /**
     * A query for the status of the leases for which this daemon is a candidate.
     *
     * @param reply completed on the lease thread
     */
    record LeasesRequested(CompletableFuture<List<LeaseStatus>> reply) implements LeaseInput {}
}
