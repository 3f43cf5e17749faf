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
 * <p>The replica and memory limits hold even if a previous holder is paused and resumes later. Let
 * H be a holder of term t that is paused at any point, and N the holder of the next term.
 *
 * <ol>
 *   <li>H sends an order only after the key-value service has accepted a plan that contains the
 *       slot with the identifier of the order. N starts its term with a compare-and-swap on the
 *       plan. Each plan that H wrote therefore either precedes N's first plan, in which case N read
 *       its slots, or was refused by the key-value service, in which case H sends no order for it.
 *       So every order that H can ever send belongs to a slot that N knows.
 *   <li>N keeps each slot whose order may still be sent or executed in an unsettled state. The slot
 *       counts against both limits, and no other order is sent for its runner and model. So the
 *       replica and the memory are already reserved whenever H's order arrives.
 *   <li>N releases an unsettled slot only after a report of the runner that shows the model absent
 *       and that includes the final effect of the order. This is the case if the report lists the
 *       order as ended, if the runner checks fencing tokens and has accepted N's term (it then
 *       rejects orders of H), or if the report was made more than the settle time after H
 *       acknowledged N's term or after H's VM was absent from the VM list for longer than the lag
 *       of the list.
 *   <li>Within one term, a single thread decides all slots based on one table. A slot counts
 *       against the limits from its reservation until a report that was made after its last state
 *       change shows the model absent.
 * </ol>
 *
 * <p>This covers a holder that is paused before, during or after its plan write, whether or not it
 * received the reply; after its last check and before sending; with several orders queued in its
 * order ring; across several later terms; and for any length of time. Three cases are not covered:
 * an order that the runner received but neither answered nor showed in a report made more than the
 * settle time after the connection ended; a VM that is absent from the list for longer than the lag
 * but still runs; and a store that is restored with an older plan while the only daemon that has
 * the newer plan no longer runs.
 */
public final class DefaultPlacementDecider implements PlacementDecider {
    /**
     * The time after which this daemon takes over again if its term has not ended, although another
     * daemon wrote a plan with a higher term.
     */
    private static final Duration TAKEOVER_RETRY_DELAY = Duration.ofSeconds(2);

    /** The interval at which a term is announced while acknowledgements are awaited. */
    private static final Duration ANNOUNCE_INTERVAL = Duration.ofSeconds(2);

    private final CellName mCell;
    private final OrderSender mSelf;
    private final CellState mState;
    private final PlanWriter mWriter;
    private final SlotUpdater mSlotUpdater;
    private final ReplicaDemand mDemand;
    private final UnloadPlanner mUnloadPlanner;
    private final LoadPlanner mLoadPlanner;
    private final OrderDispatcher mDispatcher;
    private final ReadinessReports mReadinessReports;
    private Phase mPhase = Phase.IDLE;
    private boolean mMayDecide = true;
    private boolean mNeedsPlanning;

    /** The highest token in the reports of runners and in the terms of this daemon. */
    private FencingToken mHighestToken = FencingToken.NONE;

    private @Nullable TakeoverRetry mTakeoverRetry;
    private Instant mAnnounceCheckedAt = Instant.MIN;

    /**
     * Creates a decider with the standard policies. It does not hold the cell yet.
     *
     * @param cell the cell
     * @param self this daemon
     */
    public DefaultPlacementDecider(CellName cell, OrderSender self) {
        this(cell, self, PlacementPolicies.standard());
    }

    /**
     * Creates a decider with the given policies. It does not hold the cell yet.
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
        mSlotUpdater = new SlotUpdater(mState);
        mDemand = new ReplicaDemand(mState, policies);
        mUnloadPlanner = new UnloadPlanner(mState, policies, mDemand);
        mLoadPlanner = new LoadPlanner(mState, policies, mDemand);
        mDispatcher = new OrderDispatcher(mState);
        mReadinessReports = new ReadinessReports(mState);
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
        if (event instanceof PlacementEvent.ActivationRequested requested) {
            mState.activations().addRequest(requested, now);
            mState.usage().recordUse(requested.model(), now);
            mNeedsPlanning = true;
        } else if (event instanceof PlacementEvent.UseReported use) {
            mState.usage().report(use.daemon(), use.uses(), now);
        } else if (event instanceof PlacementEvent.RunnerReported reported) {
            handleReport(reported.report(), now);
        } else if (event instanceof PlacementEvent.VmsListed listed) {
            handleVmList(listed.list(), now);
        } else if (event instanceof PlacementEvent.CatalogueListed listed) {
            mState.setCatalogue(listed.checkpoints());
            mNeedsPlanning = true;
        } else if (event instanceof PlacementEvent.LimitsChanged changed) {
            mState.setLimits(changed.limits());
            mNeedsPlanning = true;
        } else if (event instanceof PlacementEvent.TimerFired) {
            mState.usage().removeSilent(now);
            mState.backOff().expire(now);
            mState.expireReleases(now);
            mDemand.recordNeeds(now);
            mNeedsPlanning = true;
        }
    }

    private void handleReport(RunnerReport report, Instant now) {
        boolean isOfCell = mState.fleet().runner(report.runner()) != null;
        if (!isOfCell || !mState.fleet().applyReport(report)) {
            return;
        }
        if (report.highestToken().compareTo(mHighestToken) > 0) {
            mHighestToken = report.highestToken();
        }
        if (report.highestToken().compareTo(mWriter.term()) > 0) {
            // Writing the plan reveals whether another daemon holds the cell now.
            mState.slots().markChanged();
        }
        if (mPhase == Phase.HOLDING) {
            mSlotUpdater.apply(report, now);
            mNeedsPlanning |= mState.slots().isChanged();
        }
    }

    private void handleVmList(VmList list, Instant now) {
        List<EndpointId> runners = new ArrayList<>();
        List<VmId> senders = new ArrayList<>();
        for (Slot slot : mState.slots().all()) {
            runners.add(slot.key().runner());
            senders.add(slot.order().sender().vm());
        }
        mState.fleet().applyList(list, runners, senders);
        if (mPhase == Phase.HOLDING) {
            mSlotUpdater.processAbsences(now);
        }
        mNeedsPlanning = true;
    }

    private void handleTerm(PlacementEvent event, Instant now, List<PlacementDecision> decisions) {
        if (event instanceof PlacementEvent.TermStarted started) {
            takeOver(started.plan(), List.of(), started.revision(), now);
        } else if (event instanceof PlacementEvent.TermEnded) {
            mPhase = Phase.IDLE;
            mTakeoverRetry = null;
        } else if (event instanceof PlacementEvent.PlanWritten written) {
            mWriter.writeSucceeded(written.writeId(), written.revision())
                    .ifPresent(plan -> planWritten(plan, now, decisions));
        } else if (event instanceof PlacementEvent.PlanWriteFailed failed) {
            writeFailed(failed, now, decisions);
        } else if (event instanceof PlacementEvent.AuthorityChanged changed) {
            mMayDecide = changed.mayDecide();
            mNeedsPlanning = true;
        } else if (event instanceof PlacementEvent.TermAcknowledged acknowledged) {
            if (acknowledged.term().compareTo(mWriter.term()) >= 0) {
                mState.outcomes().acknowledged(acknowledged.member(), now);
            }
        }
    }

    private void takeOver(
            @Nullable Plan plan, List<Slot> ownSlots, Revision revision, Instant now) {
        FencingToken storedTerm = plan == null ? FencingToken.NONE : plan.term();
        FencingToken highest = storedTerm.compareTo(mHighestToken) > 0 ? storedTerm : mHighestToken;
        FencingToken term = highest.next();
        mPhase = Phase.TAKING_OVER;
        mTakeoverRetry = null;
        mDispatcher.reset();
        mNeedsPlanning = true;
        mWriter.continueFrom(plan == null ? 0 : plan.number(), term, revision);
        mState.startTerm(term, Takeover.adopt(plan, ownSlots, now), now);
    }

    private void planWritten(Plan plan, Instant now, List<PlacementDecision> decisions) {
        if (mPhase == Phase.IDLE) {
            return;
        }
        mState.drains().planWritten(plan.slots(), mState.slots(), now);
        if (mPhase == Phase.TAKING_OVER) {
            mPhase = Phase.HOLDING;
            announce(now, decisions);
        }
        mDispatcher.planWritten(plan);
        mNeedsPlanning = true;
        if (mHighestToken.compareTo(plan.term()) > 0) {
            // The store was restored with a lower term, so runners reject orders with the current
            // term.
            takeOver(plan, List.of(), mWriter.revision(), now);
        }
    }

    private void writeFailed(
            PlacementEvent.PlanWriteFailed failed, Instant now, List<PlacementDecision> decisions) {
        if (!mWriter.isInFlight(failed.writeId()) || mPhase == Phase.IDLE) {
            return;
        }
        if (failed.failure() instanceof PlanWriteFailure.Conflict conflict) {
            resolveConflict(failed, conflict, now, decisions);
        } else {
            mWriter.writeFailed(failed.failure(), now);
        }
    }

    private void resolveConflict(
            PlacementEvent.PlanWriteFailed failed,
            PlanWriteFailure.Conflict conflict,
            Instant now,
            List<PlacementDecision> decisions) {
        Plan current = conflict.current();
        if (current != null && current.mark().equals(failed.writeId())) {
            mWriter.writeSucceeded(failed.writeId(), conflict.revision())
                    .ifPresent(plan -> planWritten(plan, now, decisions));
            return;
        }
        if (current != null && isOfAnotherHolder(current)) {
            mPhase = Phase.SUPERSEDED;
            mTakeoverRetry =
                    new TakeoverRetry(now.plus(TAKEOVER_RETRY_DELAY), current, conflict.revision());
            return;
        }
        // No later holder wrote the stored plan: it is the previous holder's last write, or the
        // store lost writes of this daemon.
        List<Slot> ownSlots = mPhase == Phase.HOLDING ? mState.slots().all() : List.of();
        FencingToken term = mWriter.term();
        mHighestToken = term.compareTo(mHighestToken) > 0 ? term : mHighestToken;
        takeOver(current, ownSlots, conflict.revision(), now);
    }

    private boolean isOfAnotherHolder(Plan current) {
        int comparison = current.term().compareTo(mWriter.term());
        return comparison > 0 || (comparison == 0 && !current.holder().equals(mSelf.member()));
    }

    private void handleOrder(PlacementEvent event, Instant now) {
        if (event instanceof PlacementEvent.OrderAnswered answered && mPhase == Phase.HOLDING) {
            mDispatcher.answered(answered.order(), answered.result(), now);
            mNeedsPlanning |= mState.slots().isChanged();
        }
    }

    private void advance(Instant now, List<PlacementDecision> decisions) {
        if (mTakeoverRetry != null && !now.isBefore(mTakeoverRetry.at())) {
            takeOver(mTakeoverRetry.plan(), List.of(), mTakeoverRetry.revision(), now);
        }
        if (mPhase == Phase.HOLDING) {
            planAndSend(now, decisions);
        }
        if (mPhase == Phase.TAKING_OVER || mPhase == Phase.HOLDING) {
            writePlan(now, decisions);
        }
    }

    private void planAndSend(Instant now, List<PlacementDecision> decisions) {
        if (mMayDecide) {
            mDispatcher.send(now, decisions);
        }
        if (mNeedsPlanning && mMayDecide && mWriter.isIdle()) {
            mNeedsPlanning = false;
            planSlots(now, decisions);
        }
        if (now.isBefore(mAnnounceCheckedAt.plus(ANNOUNCE_INTERVAL))) {
            return;
        }
        mAnnounceCheckedAt = now;
        if (!awaitedMembers().isEmpty()) {
            announce(now, decisions);
        }
    }

    private void planSlots(Instant now, List<PlacementDecision> decisions) {
        mState.activations().expire(now);
        mUnloadPlanner.plan(now);
        TreeMap<ModelName, Readiness> pending = mLoadPlanner.plan(now);
        mReadinessReports.report(pending, now, decisions);
    }

    private void writePlan(Instant now, List<PlacementDecision> decisions) {
        if (!mWriter.isIdle()) {
            Optional<PlacementDecision.WritePlan> retry = mWriter.retry(mState.slots().all(), now);
            retry.ifPresent(decisions::add);
            if (retry.isPresent() && !mWriter.isOutcomeUnknown()) {
                mState.slots().markWritten();
            }
            return;
        }
        if (mState.slots().isChanged()) {
            mState.slots().markWritten();
            decisions.add(mWriter.write(mState.slots().all()));
        }
    }

    private Set<MemberId> awaitedMembers() {
        return mState.outcomes().awaitedMembers(mState.slots().all());
    }

    private void announce(Instant now, List<PlacementDecision> decisions) {
        mAnnounceCheckedAt = now;
        decisions.add(new PlacementDecision.AnnounceTerm(mCell, mWriter.term(), awaitedMembers()));
    }

    @Override
    public String toString() {
        return "placement of " + mCell + " at " + mSelf.member();
    }

    private enum Phase {
        /** This daemon does not hold the cell. */
        IDLE,
        /** The first plan of the term is being written. */
        TAKING_OVER,
        /** The first plan of the term was written. */
        HOLDING,
        /** Another daemon wrote a plan with a higher term while this daemon had the lease. */
        SUPERSEDED
    }

    private record TakeoverRetry(Instant at, Plan plan, Revision revision) {}
}
