package org.oleanderspring.daemon.placement.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.query.KeyValueQueries;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.placement.ModelUse;
import org.oleanderspring.core.placement.OrderResult;
import org.oleanderspring.core.placement.OrderSender;
import org.oleanderspring.core.placement.PlacementLimits;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.Readiness;
import org.oleanderspring.core.placement.RunnerOrder;
import org.oleanderspring.core.placement.command.DefaultPlacementDecider;
import org.oleanderspring.core.placement.command.PlacementDecider;
import org.oleanderspring.core.placement.command.PlacementDecision;
import org.oleanderspring.core.placement.command.PlacementEvent;
import org.oleanderspring.core.port.command.RunnerCommands;
import org.oleanderspring.daemon.codec.PlanCodec;
import org.oleanderspring.daemon.process.DaemonIdentity;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.process.StoreKeys;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.command.PeerSender;

/**
 * Executes placement decisions for the cells whose leases this daemon holds, and forwards
 * activation requests and usage reports for other cells to the daemons that hold their leases.
 *
 * <p>A held cell gets a term once its plan has been read. The term ends when the lease is lost or
 * another daemon has started a newer term; if this daemon still considers itself the holder then,
 * it reads the plan again and starts a new term. A term of another daemon is acknowledged only
 * after the orders in flight have ended, because the acknowledgement guarantees that this daemon
 * sends no further order of an earlier term (see {@link OrdersInFlight}).
 *
 * <p>The end of the authority to decide is compared with this duty's own clock, so that a paused
 * document thread cannot extend it. All state is confined to the placement thread; results of I/O
 * return through the ring.
 */
public final class PlacementDuty implements EventHandler<PlacementInput> {
    private static final Logger LOGGER = System.getLogger(PlacementDuty.class.getName());

    /** Delay before the plan of a held cell is read again. */
    private static final Duration PLAN_READ_RETRY = Duration.ofMillis(500);

    private final MemberId mSelf;
    private final Address mSelfAddress;
    private final KeyValueCommands mStoreCommands;
    private final KeyValueQueries mStoreQueries;
    private final RunnerCommands mRunners;
    private final PeerSender mPeers;
    private final PlacementListener mListener;
    private final MonotonicClock mClock;
    private final EventSink<PlacementInput> mOwnRing;
    private final Map<CellName, PlacementDecider> mDeciders = new TreeMap<>();
    private final Set<CellName> mHeldCells = new TreeSet<>();

    /** When the plans of held cells are to be read again. */
    private final Map<CellName, Instant> mNextPlanReads = new TreeMap<>();

    /** The plan of each cell with the highest number that this duty has received. */
    private final Map<CellName, Plan> mPlans = new TreeMap<>();

    /**
     * The members whose acknowledgement of this daemon's latest term of a cell is awaited. Updated
     * by each announcement, so members that acknowledged remain until the next one.
     */
    private final Map<CellName, Set<MemberId>> mAwaitedMembers = new TreeMap<>();

    /** The cells whose last usage report named at least one model. */
    private final Set<CellName> mCellsInUse = new TreeSet<>();

    private final OrdersInFlight mOrdersInFlight = new OrdersInFlight();
    private final FleetTopology mTopology = new FleetTopology();
    private @Nullable VmId mSelfVm;
    private @Nullable VmList mVms;
    private List<Checkpoint> mCatalogue = List.of();
    private PlacementLimits mLimits = PlacementLimits.DEFAULT;
    private Instant mAuthorityUntil = Instant.MIN;
    private boolean mMayDecide;

    /**
     * Creates the duty; it handles events once its thread is started.
     *
     * @param self the identity of this daemon
     * @param selfAddress the peer address of this daemon
     * @param storeCommands changes the key-value service
     * @param storeQueries reads the key-value service
     * @param runners sends orders to runners
     * @param peers sends messages to other daemons
     * @param listener receives accepted plans and estimated readiness
     * @param clock the clock of all deadlines and of the authority to decide
     * @param ownRing the ring of this duty, which receives the results of I/O
     */
    public PlacementDuty(
            MemberId self,
            Address selfAddress,
            KeyValueCommands storeCommands,
            KeyValueQueries storeQueries,
            RunnerCommands runners,
            PeerSender peers,
            PlacementListener listener,
            MonotonicClock clock,
            EventSink<PlacementInput> ownRing) {
        mSelf = self;
        mSelfAddress = selfAddress;
        mStoreCommands = storeCommands;
        mStoreQueries = storeQueries;
        mRunners = runners;
        mPeers = peers;
        mListener = listener;
        mClock = clock;
        mOwnRing = ownRing;
    }

    @Override
    public void handle(PlacementInput input) {
        checkAuthority();
        if (input instanceof PlacementInput.Event event) {
            removeEndedOrder(event.event());
            decide(event.cell(), event.event());
        } else if (input instanceof PlacementInput.Tick) {
            tick();
        } else if (input instanceof PlacementInput.LocalActivationRequested request) {
            requestActivation(request);
        } else if (input instanceof PlacementInput.RemoteActivationRequested request) {
            decide(
                    request.cell(),
                    new PlacementEvent.ActivationRequested(
                            request.daemon(),
                            request.model(),
                            request.earliestDeadline(),
                            request.waiting()));
        } else if (input instanceof PlacementInput.LocalUseReported report) {
            reportUses(report.uses());
        } else if (input instanceof PlacementInput.TermAnnounced announced) {
            handleAnnouncement(announced);
        } else if (input instanceof PlacementInput.TermAcknowledged acknowledged) {
            handleAcknowledgement(acknowledged);
        } else if (input instanceof PlacementInput.PlansRequested query) {
            query.reply().complete(List.copyOf(mPlans.values()));
        } else {
            handleStateChange(input);
        }
        sendDueAcknowledgements();
    }

    private void handleStateChange(PlacementInput input) {
        if (input instanceof PlacementInput.LeaseAcquired acquired) {
            mHeldCells.add(acquired.cell());
            readPlan(acquired.cell());
        } else if (input instanceof PlacementInput.LeaseLost lost) {
            mHeldCells.remove(lost.cell());
            mNextPlanReads.remove(lost.cell());
            decide(lost.cell(), new PlacementEvent.TermEnded());
        } else if (input instanceof PlacementInput.PlanRead read) {
            startTerm(read);
        } else if (input instanceof PlacementInput.PlanUnreadable unreadable) {
            mNextPlanReads.put(unreadable.cell(), mClock.now().plus(PLAN_READ_RETRY));
            LOGGER.log(
                    Level.WARNING,
                    "[placement] Could not read the plan of cell {0}, retrying: {1}.",
                    unreadable.cell(),
                    unreadable.reason());
        } else if (input instanceof PlacementInput.PlanChanged changed) {
            applyPlan(changed.plan());
        } else if (input instanceof PlacementInput.AuthorityChanged authority) {
            mAuthorityUntil = authority.until();
            checkAuthority();
        } else {
            handleFleetChange(input);
        }
    }

    private void applyPlan(Plan plan) {
        Plan known = mPlans.get(plan.cell());
        if (known != null && known.number() >= plan.number()) {
            return;
        }
        mPlans.put(plan.cell(), plan);
        if (!plan.holder().equals(mSelf)) {
            endOwnTerm(plan.cell());
        }
    }

    private void handleFleetChange(PlacementInput input) {
        if (input instanceof PlacementInput.VmsListed listed) {
            mVms = listed.vms();
            mTopology.setVms(listed.vms());
            mSelfVm = mTopology.vmOf(mSelfAddress);
            decideAll(new PlacementEvent.VmsListed(listed.vms()));
        } else if (input instanceof PlacementInput.MembersListed listed) {
            mTopology.setMembers(listed.members());
        } else if (input instanceof PlacementInput.CatalogueListed listed) {
            mCatalogue = listed.checkpoints();
            decideAll(new PlacementEvent.CatalogueListed(listed.checkpoints()));
        } else if (input instanceof PlacementInput.RunnerReported reported) {
            runnerReported(reported.report());
        } else if (input instanceof PlacementInput.SettingsChanged settings) {
            mLimits = PlacementLimitsMapper.map(settings.settings());
            decideAll(new PlacementEvent.LimitsChanged(mLimits));
        }
    }

    private void tick() {
        Instant now = mClock.now();
        for (CellName cell : List.copyOf(mHeldCells)) {
            Instant readAt = mNextPlanReads.get(cell);
            if (readAt != null && !now.isBefore(readAt)) {
                mNextPlanReads.remove(cell);
                readPlan(cell);
            }
        }
        decideAll(new PlacementEvent.TimerFired());
    }

    /**
     * Updates whether this daemon may decide. The end of the authority is compared with this duty's
     * own clock, so that a paused document thread cannot extend it.
     */
    private void checkAuthority() {
        boolean mayDecide = mClock.now().isBefore(mAuthorityUntil);
        if (mayDecide == mMayDecide) {
            return;
        }
        mMayDecide = mayDecide;
        decideAll(new PlacementEvent.AuthorityChanged(mayDecide));
    }

    private void readPlan(CellName cell) {
        mStoreQueries
                .read(StoreKeys.document(StoreKeys.plan(cell)))
                .thenAccept(result -> mOwnRing.offer(PlanReplyMapper.ofRead(cell, result)));
    }

    /**
     * Starts a term if the lease of the cell is still held. The orders of a term name the VM of
     * this daemon, so the start is delayed until the VM list contains it.
     */
    private void startTerm(PlacementInput.PlanRead read) {
        VmId vm = mSelfVm;
        if (!mHeldCells.contains(read.cell())) {
            return;
        }
        if (vm == null) {
            mNextPlanReads.put(read.cell(), mClock.now().plus(PLAN_READ_RETRY));
            return;
        }
        PlacementDecider decider =
                mDeciders.computeIfAbsent(read.cell(), cell -> newDecider(cell, vm));
        LOGGER.log(
                Level.INFO, "[placement] This daemon starts a new term for cell {0}.", read.cell());
        execute(
                read.cell(),
                decider.decide(
                        new PlacementEvent.TermStarted(latestPlan(read), read.revision()),
                        mClock.now()));
    }

    /** Returns the stored plan or the current one, whichever has the higher number. */
    private @Nullable Plan latestPlan(PlacementInput.PlanRead read) {
        Plan known = mPlans.get(read.cell());
        Plan found = read.plan();
        if (known == null) {
            return found;
        }
        return found == null || known.number() > found.number() ? known : found;
    }

    /** Creates a decider and passes it the state that earlier events have set. */
    private PlacementDecider newDecider(CellName cell, VmId vm) {
        PlacementDecider decider = new DefaultPlacementDecider(cell, new OrderSender(mSelf, vm));
        Instant now = mClock.now();
        List<PlacementEvent> known = new ArrayList<>();
        known.add(new PlacementEvent.LimitsChanged(mLimits));
        known.add(new PlacementEvent.AuthorityChanged(mMayDecide));
        known.add(new PlacementEvent.CatalogueListed(mCatalogue));
        if (mVms != null) {
            known.add(new PlacementEvent.VmsListed(mVms));
        }
        known.forEach(event -> decider.decide(event, now));
        return decider;
    }

    private void runnerReported(RunnerReport report) {
        CellName cell = mTopology.cellOf(report.runner());
        if (cell != null) {
            decide(cell, new PlacementEvent.RunnerReported(report));
        }
    }

    private void requestActivation(PlacementInput.LocalActivationRequested request) {
        CellName cell = cellOf(request.model());
        MemberId holder = cell == null ? null : holderOf(cell);
        if (cell == null || holder == null) {
            return;
        }
        if (holder.equals(mSelf)) {
            decide(
                    cell,
                    new PlacementEvent.ActivationRequested(
                            mSelf, request.model(), request.earliestDeadline(), request.waiting()));
            return;
        }
        Duration remaining = Duration.between(mClock.now(), request.earliestDeadline());
        DaemonIdentity.addressOf(holder)
                .ifPresent(
                        address ->
                                mPeers.send(
                                        address,
                                        new PeerMessage.ActivationRequest(
                                                mSelf,
                                                cell,
                                                request.model(),
                                                remaining,
                                                request.waiting())));
    }

    private void reportUses(List<ModelUse> uses) {
        for (CellName cell : mTopology.cells()) {
            List<ModelUse> usesOfCell =
                    uses.stream().filter(use -> cell.equals(cellOf(use.name()))).toList();
            reportUse(cell, usesOfCell);
        }
    }

    /**
     * Reports the use of a cell's models to the holder of the cell. After the use ends, one empty
     * report is sent and no more, so an idle daemon sends nothing.
     */
    private void reportUse(CellName cell, List<ModelUse> uses) {
        MemberId holder = holderOf(cell);
        boolean reportedBefore = uses.isEmpty() ? mCellsInUse.remove(cell) : !mCellsInUse.add(cell);
        if (holder == null || (uses.isEmpty() && !reportedBefore)) {
            return;
        }
        if (holder.equals(mSelf)) {
            decide(cell, new PlacementEvent.UseReported(mSelf, uses));
            return;
        }
        DaemonIdentity.addressOf(holder)
                .ifPresent(
                        address ->
                                mPeers.send(address, new PeerMessage.UseReport(mSelf, cell, uses)));
    }

    /**
     * Returns the cell in whose plan the model has a slot. A model without a slot maps to the same
     * cell on every daemon, by rendezvous hashing.
     */
    private @Nullable CellName cellOf(ModelName model) {
        for (Plan plan : mPlans.values()) {
            if (plan.slots().stream().anyMatch(slot -> slot.key().name().equals(model))) {
                return plan.cell();
            }
        }
        return RendezvousRanking.first(model.value(), mTopology.cells(), CellName::value)
                .orElse(null);
    }

    private @Nullable MemberId holderOf(CellName cell) {
        if (mHeldCells.contains(cell)) {
            return mSelf;
        }
        Plan plan = mPlans.get(cell);
        return plan == null ? null : plan.holder();
    }

    private void decideAll(PlacementEvent event) {
        for (CellName cell : List.copyOf(mDeciders.keySet())) {
            decide(cell, event);
        }
    }

    private void decide(CellName cell, PlacementEvent event) {
        PlacementDecider decider = mDeciders.get(cell);
        if (decider == null) {
            return;
        }
        execute(cell, decider.decide(event, mClock.now()));
    }

    private void execute(CellName cell, List<PlacementDecision> decisions) {
        for (PlacementDecision decision : decisions) {
            if (decision instanceof PlacementDecision.WritePlan write) {
                writePlan(write);
            } else if (decision instanceof PlacementDecision.SendOrder send) {
                sendOrder(cell, send);
            } else if (decision instanceof PlacementDecision.AnnounceTerm announce) {
                announce(announce);
            } else if (decision instanceof PlacementDecision.ReportReadiness report) {
                announceReadiness(cell, report);
            }
        }
    }

    private void writePlan(PlacementDecision.WritePlan write) {
        Plan plan = write.plan();
        CompareAndSwap command =
                new CompareAndSwap(
                        StoreKeys.document(StoreKeys.plan(plan.cell())),
                        write.expected(),
                        PlanCodec.encode(plan),
                        StoreLeaseId.NONE);
        mStoreCommands
                .compareAndSwap(command)
                .thenAccept(
                        result -> {
                            PlacementEvent event = PlanReplyMapper.ofWrite(plan, result);
                            if (event instanceof PlacementEvent.PlanWritten written) {
                                mListener.planWritten(plan, written.revision());
                            }
                            mOwnRing.offer(new PlacementInput.Event(plan.cell(), event));
                        });
    }

    private void sendOrder(CellName cell, PlacementDecision.SendOrder send) {
        RunnerOrder order = send.order();
        if (mClock.now().isAfter(order.validUntil())) {
            mOwnRing.offer(
                    new PlacementInput.Event(
                            cell,
                            new PlacementEvent.OrderAnswered(
                                    order.id(),
                                    new OrderResult.NotSent(
                                            "the validity of the order ended before it was"
                                                    + " sent"))));
            return;
        }
        LOGGER.log(
                Level.INFO,
                "[placement] Order {0}: {1} of {2} on runner {3}, reason: {4}.",
                order.id(),
                order.kind(),
                order.subject(),
                order.runner(),
                send.reason());
        mOrdersInFlight.orderSent(cell, order);
        mRunners.send(send.runner().address(), order)
                .thenAccept(
                        result ->
                                mOwnRing.offer(
                                        new PlacementInput.Event(
                                                cell,
                                                new PlacementEvent.OrderAnswered(
                                                        order.id(), result))));
    }

    private void removeEndedOrder(PlacementEvent event) {
        if (event instanceof PlacementEvent.OrderAnswered answered) {
            mOrdersInFlight.orderEnded(answered.order());
        }
    }

    private void announce(PlacementDecision.AnnounceTerm announce) {
        mAwaitedMembers.put(announce.cell(), announce.awaitedMembers());
        for (MemberId awaited : announce.awaitedMembers()) {
            DaemonIdentity.addressOf(awaited).ifPresent(address -> announce(announce, address));
        }
    }

    private void announce(PlacementDecision.AnnounceTerm announce, Address receiver) {
        if (receiver.equals(mSelfAddress)) {
            handleAnnouncement(
                    new PlacementInput.TermAnnounced(receiver, announce.cell(), announce.term()));
            return;
        }
        mPeers.send(
                receiver,
                new PeerMessage.TermAnnouncement(announce.cell(), announce.term(), mSelf));
    }

    /**
     * Ends this daemon's own term if another daemon announced a newer one. The acknowledgement is
     * sent once no order of an earlier term is in flight.
     */
    private void handleAnnouncement(PlacementInput.TermAnnounced announced) {
        Plan known = mPlans.get(announced.cell());
        boolean newerTerm = known == null || announced.term().compareTo(known.term()) > 0;
        if (newerTerm && !announced.from().equals(mSelfAddress)) {
            endOwnTerm(announced.cell());
        }
        mOrdersInFlight.defer(
                new OrdersInFlight.DeferredAcknowledgement(
                        announced.from(), announced.cell(), announced.term()));
    }

    /**
     * Applies an acknowledgement to every awaited identity at the sender's address. Only one daemon
     * process can listen at an address, so earlier processes there have ended and send no orders
     * either.
     */
    private void handleAcknowledgement(PlacementInput.TermAcknowledged acknowledged) {
        Address from = acknowledged.from();
        for (MemberId awaited : mAwaitedMembers.getOrDefault(acknowledged.cell(), Set.of())) {
            if (DaemonIdentity.addressOf(awaited).filter(from::equals).isPresent()) {
                decide(
                        acknowledged.cell(),
                        new PlacementEvent.TermAcknowledged(awaited, acknowledged.term()));
            }
        }
    }

    /**
     * Ends this daemon's term after another daemon has started one. If this daemon still considers
     * itself the holder of the lease at the next read of the plan, it starts a new term.
     */
    private void endOwnTerm(CellName cell) {
        if (!mHeldCells.contains(cell)) {
            return;
        }
        decide(cell, new PlacementEvent.TermEnded());
        mNextPlanReads.put(cell, mClock.now().plus(PLAN_READ_RETRY));
    }

    private void sendDueAcknowledgements() {
        for (OrdersInFlight.DeferredAcknowledgement acknowledgement :
                mOrdersInFlight.takeSendable()) {
            if (acknowledgement.receiver().equals(mSelfAddress)) {
                handleAcknowledgement(
                        new PlacementInput.TermAcknowledged(
                                mSelfAddress, acknowledgement.cell(), acknowledgement.term()));
                continue;
            }
            mPeers.send(
                    acknowledgement.receiver(),
                    new PeerMessage.TermAcknowledgement(
                            acknowledgement.cell(), acknowledgement.term(), mSelf));
        }
    }

    private void announceReadiness(CellName cell, PlacementDecision.ReportReadiness report) {
        if (!(report.readiness() instanceof Readiness.ReadyAt ready)) {
            LOGGER.log(
                    Level.WARNING,
                    "[placement] Model {0} cannot be made ready: {1}.",
                    report.model(),
                    report.readiness());
            return;
        }
        mListener.readinessEstimated(report.model(), ready.at());
        Duration remaining = Duration.between(mClock.now(), ready.at());
        for (Address other : mTopology.otherDaemons(mSelfAddress)) {
            mPeers.send(other, new PeerMessage.ReadyNotice(cell, report.model(), remaining));
        }
    }
}
