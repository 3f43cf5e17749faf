package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.placement.OrderSender;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.PlanWriteFailure;
import org.oleanderspring.core.placement.Readiness;
import org.oleanderspring.core.placement.Slot;

/**
 * Decides the placement of one cell while this daemon holds it.
 *
 * <p>Why the replica and memory limits hold under a paused former holder. Let H be a holder of term
 * t that is paused at any point, and N the holder of the next term.
 *
 * <ol>
 *   <li>H sends an order only for a slot that is in a plan which the store accepted, with the
 *       order's identity, before the order. N starts its term by a compare-and-swap on the plan, so
 *       each plan that H wrote is either before N's first plan, and then N read its slots, or it is
 *       refused, and then H sends nothing for it. So each order that H can ever send belongs to a
 *       slot that N knows.
 *   <li>N keeps each such slot whose order may still be sent or carried out as unsettled: it counts
 *       against both limits, and its runner and model get no other order. So whenever H's order
 *       arrives, its replica and its memory are already charged.
 *   <li>N releases an unsettled slot only after a report of the runner that shows the model absent
 *       and that shows the final effect of the order: the report names the order as ended; or the
 *       runner checks tokens and has accepted N's term, so it refuses H's; or the report was made
 *       after H acknowledged N's term, or after H's VM was absent from the VM list for longer than
 *       its lag, plus the settle time.
 *   <li>Within one term, all slots are decided by one thread against one table in which a slot is
 *       charged from its reservation until a report made after its last state change shows it
 *       absent.
 * </ol>
 *
 * <p>Pauses covered: H paused before, during or after its plan write, with the reply received or
 * not; after its last check and before sending; with several orders still in its order ring; across
 * several later terms; for any length of time. What remains: an order whose bytes the runner has
 * received but neither answered nor shown in a report made more than the settle time after the
 * connection ended; a VM that is gone from the list for longer than the lag but still runs; and a
 * store that comes back with an older plan while the only daemon that knows the newer one is gone.
 */
public final class DefaultPlacementDecider implements PlacementDecider {
    private static final Duration RETAKE_DELAY = Duration.ofSeconds(2);
    private static final Duration ANNOUNCE_INTERVAL = Duration.ofSeconds(2);

    private final CellName mCell;
    private final OrderSender mSelf;
    private final CellState mState;
    private final PlanWriter mWriter;
    private final SlotProgress mProgress;
    private final ReplicaDemand mDemand;
    private final UnloadPlanner mUnloads;
    private final LoadPlanner mLoads;
    private final OrderDispatch mOrders;
    private final ReadinessReports mAnswers;
    private Phase mPhase = Phase.IDLE;
    private boolean mMayDecide = true;
    private boolean mNeedsPlanning;
    private FencingToken mHighestToken = FencingToken.NONE;
    private @Nullable Retake mRetake;
    private Instant mAnnouncedAt = Instant.MIN;

    /**
     * Creates a decider that holds nothing yet.
     *
     * @param cell the cell
     * @param self this daemon
     */
    public DefaultPlacementDecider(CellName cell, OrderSender self) {
        this(cell, self, PlacementPolicies.standard());
    }

    /**
     * Creates a decider with other policies.
     *
     * @param cell the cell
     * @param self this daemon
     * @param policies the policies
     */
    public DefaultPlacementDecider(CellName cell, OrderSender self, PlacementPolicies policies) {
        mCell = Objects.requireNonNull(cell, "cell");
        mSelf = Objects.requireNonNull(self, "self");
        mState = new CellState(cell, self);
        mWriter = new PlanWriter(cell, self.member());
        mProgress = new SlotProgress(mState);
        mDemand = new ReplicaDemand(mState, policies);
        mUnloads = new UnloadPlanner(mState, policies, mDemand);
        mLoads = new LoadPlanner(mState, policies, mDemand);
        mOrders = new OrderDispatch(mState);
        mAnswers = new ReadinessReports(mState);
    }

    @Override
    public List<PlacementDecision> decide(PlacementEvent event, Instant now) {
        List<PlacementDecision> decisions = new ArrayList<>();
        handleObservation(event, now);
        handleTerm(event, now, decisions);
        handleOrder(event, now);
        advance(now, decisions);
        return decisions;
    }

    private void handleObservation(PlacementEvent event, Instant now) {
        if (event instanceof PlacementEvent.ActivationRequested wake) {
            mState.wakes().request(wake, now);
            mState.use().touch(wake.model(), now);
            mNeedsPlanning = true;
        } else if (event instanceof PlacementEvent.UseReported use) {
            mState.use().report(use.daemon(), use.uses(), now);
        } else if (event instanceof PlacementEvent.RunnerReported reported) {
            handleReport(reported.report(), now);
        } else if (event instanceof PlacementEvent.VmsListed listed) {
            handleList(listed.list(), now);
        } else if (event instanceof PlacementEvent.CatalogueListed listed) {
            mState.setCatalogue(listed.checkpoints());
            mNeedsPlanning = true;
        } else if (event instanceof PlacementEvent.LimitsChanged changed) {
            mState.setLimits(changed.limits());
            mNeedsPlanning = true;
        } else if (event instanceof PlacementEvent.TimerFired) {
            mState.use().dropSilent(now);
            mState.backOff().expire(now);
            mState.expireReleases(now);
            mDemand.noteUse(now);
            mNeedsPlanning = true;
        }
    }

    private void handleReport(RunnerReport report, Instant now) {
        boolean isOfCell = mState.fleet().runner(report.runner()) != null;
        if (!isOfCell || !mState.fleet().report(report)) {
            return;
        }
        if (report.highestToken().compareTo(mHighestToken) > 0) {
            mHighestToken = report.highestToken();
        }
        if (report.highestToken().compareTo(mWriter.term()) > 0) {
            // The write shows whether another daemon holds the cell.
            mState.slots().markChanged();
        }
        if (mPhase == Phase.HOLDING) {
            mProgress.apply(report, now);
            mNeedsPlanning |= mState.slots().isChanged();
        }
    }

    private void handleList(VmList list, Instant now) {
        List<EndpointId> runners = new ArrayList<>();
        List<VmId> senders = new ArrayList<>();
        for (Slot slot : mState.slots().all()) {
            runners.add(slot.key().runner());
            senders.add(slot.order().sender().vm());
        }
        mState.fleet().list(list, runners, senders);
        if (mPhase == Phase.HOLDING) {
            mProgress.releaseGone(now);
        }
        mNeedsPlanning = true;
    }

    private void handleTerm(PlacementEvent event, Instant now, List<PlacementDecision> out) {
        if (event instanceof PlacementEvent.TermStarted started) {
            takeOver(started.plan(), List.of(), started.revision(), now);
        } else if (event instanceof PlacementEvent.TermEnded) {
            mPhase = Phase.IDLE;
            mRetake = null;
        } else if (event instanceof PlacementEvent.PlanWritten written) {
            mWriter.written(written.mark(), written.revision())
                    .ifPresent(plan -> planWritten(plan, now, out));
        } else if (event instanceof PlacementEvent.PlanWriteFailed failed) {
            writeFailed(failed, now, out);
        } else if (event instanceof PlacementEvent.AuthorityChanged changed) {
            mMayDecide = changed.mayDecide();
            mNeedsPlanning = true;
        } else if (event instanceof PlacementEvent.TermAcknowledged acknowledged) {
            if (acknowledged.term().compareTo(mWriter.term()) >= 0) {
                mState.outcomes().acknowledged(acknowledged.member(), now);
            }
        }
    }

    private void takeOver(@Nullable Plan plan, List<Slot> own, Revision revision, Instant now) {
        FencingToken found = plan == null ? FencingToken.NONE : plan.term();
        FencingToken highest = found.compareTo(mHighestToken) > 0 ? found : mHighestToken;
        FencingToken term = highest.next();
        mPhase = Phase.TAKING_OVER;
        mRetake = null;
        mOrders.reset();
        mNeedsPlanning = true;
        mWriter.start(plan == null ? 0 : plan.number(), term, revision);
        mState.startTerm(term, Takeover.adopt(plan, own, now), now);
    }

    private void planWritten(Plan plan, Instant now, List<PlacementDecision> out) {
        if (mPhase == Phase.IDLE) {
            return;
        }
        mState.drains().planWritten(plan.slots(), mState.slots(), now);
        if (mPhase == Phase.TAKING_OVER) {
            mPhase = Phase.HOLDING;
            announce(now, out);
        }
        mOrders.planWritten(plan);
        mNeedsPlanning = true;
        if (mHighestToken.compareTo(plan.term()) > 0) {
            // The store came back with a lower term, so runners refuse the orders of this one.
            takeOver(plan, List.of(), mWriter.revision(), now);
        }
    }

    private void writeFailed(
            PlacementEvent.PlanWriteFailed failed, Instant now, List<PlacementDecision> out) {
        if (!mWriter.isInFlight(failed.mark()) || mPhase == Phase.IDLE) {
            return;
        }
        if (failed.failure() instanceof PlanWriteFailure.Conflict conflict) {
            resolveConflict(failed, conflict, now, out);
        } else {
            mWriter.failed(failed.failure(), now);
        }
    }

    private void resolveConflict(
            PlacementEvent.PlanWriteFailed failed,
            PlanWriteFailure.Conflict conflict,
            Instant now,
            List<PlacementDecision> out) {
        Plan current = conflict.current();
        if (current != null && current.mark().equals(failed.mark())) {
            mWriter.written(failed.mark(), conflict.revision())
                    .ifPresent(plan -> planWritten(plan, now, out));
            return;
        }
        if (current != null && isOfAnotherHolder(current)) {
            mPhase = Phase.SUPERSEDED;
            mRetake = new Retake(now.plus(RETAKE_DELAY), current, conflict.revision());
            return;
        }
        // A plan of a lower term: the former holder's last write, or a store that lost writes.
        List<Slot> own = mPhase == Phase.HOLDING ? mState.slots().all() : List.of();
        FencingToken term = mWriter.term();
        mHighestToken = term.compareTo(mHighestToken) > 0 ? term : mHighestToken;
        takeOver(current, own, conflict.revision(), now);
    }

    private boolean isOfAnotherHolder(Plan current) {
        int order = current.term().compareTo(mWriter.term());
        return order > 0 || (order == 0 && !current.holder().equals(mSelf.member()));
    }

    private void handleOrder(PlacementEvent event, Instant now) {
        if (event instanceof PlacementEvent.OrderAnswered answered && mPhase == Phase.HOLDING) {
            mOrders.answered(answered.order(), answered.result(), now);
            mNeedsPlanning |= mState.slots().isChanged();
        }
    }

    private void advance(Instant now, List<PlacementDecision> out) {
        if (mRetake != null && !now.isBefore(mRetake.at())) {
            takeOver(mRetake.plan(), List.of(), mRetake.revision(), now);
        }
        if (mPhase == Phase.HOLDING) {
            hold(now, out);
        }
        if (mPhase == Phase.TAKING_OVER || mPhase == Phase.HOLDING) {
            write(now, out);
        }
    }

    private void hold(Instant now, List<PlacementDecision> out) {
        if (mMayDecide) {
            mOrders.send(now, out);
        }
        if (mNeedsPlanning && mMayDecide && mWriter.isIdle()) {
            mNeedsPlanning = false;
            planSlots(now, out);
        }
        if (now.isBefore(mAnnouncedAt.plus(ANNOUNCE_INTERVAL))) {
            return;
        }
        mAnnouncedAt = now;
        if (!awaited().isEmpty()) {
            announce(now, out);
        }
    }

    private void planSlots(Instant now, List<PlacementDecision> out) {
        mState.wakes().expire(now);
        mUnloads.plan(now);
        TreeMap<ModelName, Readiness> pending = mLoads.plan(now);
        mAnswers.answer(pending, now, out);
    }

    private void write(Instant now, List<PlacementDecision> out) {
        if (!mWriter.isIdle()) {
            Optional<PlacementDecision.WritePlan> retry = mWriter.retry(mState.slots().all(), now);
            retry.ifPresent(out::add);
            if (retry.isPresent() && !mWriter.isUncertain()) {
                mState.slots().markWritten();
            }
            return;
        }
        if (mState.slots().isChanged()) {
            mState.slots().markWritten();
            out.add(mWriter.write(mState.slots().all()));
        }
    }

    private Set<MemberId> awaited() {
        return mState.outcomes().awaited(mState.slots().all());
    }

    private void announce(Instant now, List<PlacementDecision> out) {
        mAnnouncedAt = now;
        out.add(new PlacementDecision.AnnounceTerm(mCell, mWriter.term(), awaited()));
    }

    @Override
    public String toString() {
        return "placement of " + mCell + " at " + mSelf.member();
    }

    private enum Phase {
        /** The cell is not held. */
        IDLE,
        /** The first plan of the term is being written. */
        TAKING_OVER,
        /** The first plan of the term was written. */
        HOLDING,
        /** Another daemon wrote a plan of a higher term while this one had the lease. */
        SUPERSEDED
    }

    private record Retake(Instant at, Plan plan, Revision revision) {}
}
