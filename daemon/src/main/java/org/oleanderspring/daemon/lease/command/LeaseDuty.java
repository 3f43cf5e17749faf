package org.oleanderspring.daemon.lease.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.LeaseCandidacy;
import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.lease.command.DefaultLeaseDecider;
import org.oleanderspring.coordination.lease.command.LeaseDecision;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.query.KeyValueQueries;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.duty.command.EventSink;

/**
 * Executes the decisions about the leases of cells. All state is confined to the lease thread.
 *
 * <p>Rendezvous hashing ranks the members for each cell. Only the first few of them are candidates
 * for the lease of the cell, and the others send no requests for it.
 */
public final class LeaseDuty implements EventHandler<LeaseInput> {
    private static final Logger LOGGER = System.getLogger(LeaseDuty.class.getName());

    /**
     * The number of daemons that compete for the lease of a cell. It limits the load on the
     * key-value service, where each candidate renews a lease of its own. With 1,700 daemons as
     * candidates the renewals alone would take 850 writes per second.
     */
    private static final int CANDIDATES_PER_CELL = 4;

    private final MemberId mSelf;
    private final DefaultLeaseDecider mDecider;
    private final LeaseStoreOperations mStoreOperations;
    private final LeaseListener mListener;
    private final MonotonicClock mClock;
    private final EventSink<LeaseInput> mOwnRing;
    private Set<CellName> mCells = Set.of();
    private List<MemberId> mMembers = List.of();
    private List<LeaseCandidacy> mCandidacies = List.of();
    private @Nullable CompletableFuture<Boolean> mStopReply;

    /**
     * Creates the duty; it handles events once its thread is started.
     *
     * @param self the identity of this daemon
     * @param decider decides about the leases for which this daemon is a candidate
     * @param commands changes the key-value service
     * @param queries reads the key-value service
     * @param listener receives changes of held leases, on the lease thread
     * @param clock the clock of lease expiry
     * @param ownRing the ring of this duty, which receives the replies of the key-value service
     */
    public LeaseDuty(
            MemberId self,
            DefaultLeaseDecider decider,
            KeyValueCommands commands,
            KeyValueQueries queries,
            LeaseListener listener,
            MonotonicClock clock,
            EventSink<LeaseInput> ownRing) {
        mSelf = self;
        mDecider = decider;
        mStoreOperations = new LeaseStoreOperations(commands, queries, this::offer);
        mListener = listener;
        mClock = clock;
        mOwnRing = ownRing;
    }

    @Override
    public void handle(LeaseInput input) {
        if (input instanceof LeaseInput.Event event) {
            decide(event.event());
        } else if (input instanceof LeaseInput.CellsListed listed) {
            mCells = listed.cells();
            updateCandidacies();
        } else if (input instanceof LeaseInput.MembersListed listed) {
            mMembers = listed.members();
            updateCandidacies();
        } else if (input instanceof LeaseInput.StopRequested stop) {
            mStopReply = stop.done();
            decide(new LeaseEvent.StopRequested());
        } else if (input instanceof LeaseInput.LeasesRequested query) {
            query.reply().complete(mDecider.leases(mClock.now()));
        }
    }

    private void updateCandidacies() {
        List<LeaseCandidacy> candidacies = new ArrayList<>();
        for (CellName cell : mCells.stream().sorted().toList()) {
            List<MemberId> ranking =
                    RendezvousRanking.top(
                            cell.value(), mMembers, MemberId::value, CANDIDATES_PER_CELL);
            int rank = ranking.indexOf(mSelf);
            if (rank >= 0) {
                candidacies.add(new LeaseCandidacy(new LeaseName(cell.value()), rank));
            }
        }
        if (!candidacies.equals(mCandidacies)) {
            mCandidacies = List.copyOf(candidacies);
            decide(new LeaseEvent.CandidaciesChanged(candidacies));
        }
    }

    private void decide(LeaseEvent event) {
        for (LeaseDecision decision : mDecider.decide(event, mClock.now())) {
            if (!mStoreOperations.execute(decision)) {
                notifyListener(decision);
            }
        }
    }

    private void notifyListener(LeaseDecision decision) {
        if (decision instanceof LeaseDecision.LeaseAcquired acquired) {
            LOGGER.log(Level.INFO, "[lease] Acquired the lease of cell {0}.", acquired.name());
            mListener.acquired(new CellName(acquired.name().value()));
        } else if (decision instanceof LeaseDecision.LeaseLost lost) {
            LOGGER.log(
                    Level.INFO,
                    "[lease] The lease of cell {0} is no longer held: {1}.",
                    lost.name(),
                    lost.reason());
            mListener.lost(new CellName(lost.name().value()));
        } else if (decision instanceof LeaseDecision.AllLeasesReleased && mStopReply != null) {
            mStopReply.complete(true);
        }
    }

    private void offer(LeaseEvent event) {
        mOwnRing.offer(new LeaseInput.Event(event));
    }
}
