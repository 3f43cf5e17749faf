package org.oleanderspring.daemon.gateway.placement.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.lease.LeaseCandidacy;
import org.oleanderspring.coordination.lease.command.DefaultLeaseDecider;
import org.oleanderspring.coordination.lease.command.LeaseDecision;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.core.port.query.FetchResult;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.residency.ResidencyOrderReply;
import org.oleanderspring.core.residency.command.ResidencyDecider;
import org.oleanderspring.core.residency.command.ResidencyDecision;
import org.oleanderspring.core.residency.command.ResidencyEvent;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.core.runner.RunnerState;
import org.oleanderspring.daemon.gateway.FleetView;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.daemon.gateway.GatewayMember;
import org.oleanderspring.daemon.gateway.GatewaySettings;
import org.oleanderspring.daemon.gateway.StoreUpdate;
import org.oleanderspring.daemon.lease.command.LeaseStoreOperations;
import org.oleanderspring.daemon.process.SuspendAwareClock;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.query.RingUsage;

/**
 * Holds the daemon's leases and sends orders to runners while it holds the placement lease.
 *
 * <p>Leases and orders are handled by one duty, so that the lease can be checked immediately before
 * each order, by a clock that also counts the time in which the VM was suspended. A new holder
 * delays its first order until no order of the previous holder can still be in transit.
 *
 * <p>In a planned stop, the placement lease is released together with the times of the last orders,
 * once no order of this daemon can still arrive, so that the next holder delays no order longer
 * than necessary (see {@link OrderHistory}). If an order gets no reply, the lease is released
 * without these times, and the next holder waits for the whole pause.
 */
public final class ResidencyDuty implements EventHandler<ResidencyInput> {
    private static final Logger LOGGER = System.getLogger(ResidencyDuty.class.getName());

    /**
     * The daemons are spread over this many ranks as candidates for the placement lease, so that
     * few of them try to acquire a free lease at the same time.
     */
    private static final int PLACEMENT_RANKS = 4;

    private final GatewaySettings mSettings;
    private final DefaultLeaseDecider mLeases;
    private final ResidencyDecider mDecider;
    private final ResidencyPorts mPorts;
    private final LeaseStoreOperations mLeaseStoreOperations;
    private final SuspendAwareClock mClock;
    private final DutyTimer mTimer;
    private final EventSink<ResidencyInput> mOwnRing;
    private final RingUsage mOwnRingUsage;
    private final FleetView mFleet = new FleetView("[placement]");
    private final Map<EndpointId, RunnerRegistration> mRunners = new HashMap<>();
    private final Duration mSafetyMargin;
    private final OrderHistory mOrderHistory;
    private final EndpointLoadPublisher mEndpointLoads;
    private boolean mOrdersEnded;

    /** The token of the last tenure. */
    private FencingToken mLastToken = FencingToken.NONE;

    private @Nullable Instant mPlacementKeyRemovedAt;

    /** The excess of the clock when the pause of the last tenure began. */
    private Duration mExcessAtPause = Duration.ZERO;

    private Instant mOrdersFrom = Instant.MIN;
    private Map<EndpointId, Instant> mDeferredRunners = Map.of();
    private @Nullable CompletableFuture<Boolean> mLeasesReleased;

    /**
     * Creates the duty.
     *
     * @param settings the settings of the daemon
     * @param leases decides on leases
     * @param safetyMargin how long before its lease expires a holder stops using it
     * @param decider decides on orders
     * @param ports the duty's outgoing interfaces
     * @param clock gives the time of each event; used by this duty only
     * @param timer delivers delayed events to the ring
     * @param ownRing the ring of this duty, for events from the ports
     * @param ownRingUsage the fill level of this ring, for the log
     */
    public ResidencyDuty(
            GatewaySettings settings,
            DefaultLeaseDecider leases,
            Duration safetyMargin,
            ResidencyDecider decider,
            ResidencyPorts ports,
            SuspendAwareClock clock,
            DutyTimer timer,
            EventSink<ResidencyInput> ownRing,
            RingUsage ownRingUsage) {
        mSettings = settings;
        mLeases = leases;
        mSafetyMargin = safetyMargin;
        mOrderHistory = new OrderHistory(settings.pauseBeforeOrders());
        mEndpointLoads = new EndpointLoadPublisher(ports.notifier());
        mDecider = decider;
        mPorts = ports;
        mLeaseStoreOperations =
                new LeaseStoreOperations(ports.storeCommands(), ports.storeQueries(), this::offer);
        mClock = clock;
        mTimer = timer;
        mOwnRing = ownRing;
        mOwnRingUsage = ownRingUsage;
    }

    /** Returns the event that makes the daemon a candidate for its leases; to be offered once. */
    public ResidencyInput candidacyInput() {
        int rank = Math.floorMod(mSettings.self().id().hashCode(), PLACEMENT_RANKS);
        return new ResidencyInput.Lease(
                new LeaseEvent.CandidaciesChanged(
                        List.of(
                                new LeaseCandidacy(
                                        GatewayKeys.membership(mSettings.self().id()), 0),
                                new LeaseCandidacy(GatewayKeys.PLACEMENT, rank))));
    }

    @Override
    public void handle(ResidencyInput input) {
        if (input instanceof ResidencyInput.Placement placement) {
            recordReply(placement.event());
            decide(placement.event());
        } else if (input instanceof ResidencyInput.Lease lease) {
            decide(lease.event());
        } else if (input instanceof ResidencyInput.StoreChanged changed) {
            observePlacementLease(changed.update());
            apply(mFleet.apply(changed.update(), mClock.now()));
        } else if (input instanceof ResidencyInput.EndpointUseReported reported) {
            mEndpointLoads.report(reported, mClock.now());
            for (EndpointUse use : reported.uses()) {
                if (!use.statement().equals(EndpointStatement.NONE)) {
                    decide(new ResidencyEvent.RunnerStated(use.endpoint(), use.statement()));
                }
            }
        } else if (input instanceof ResidencyInput.TimerFired) {
            decide(new LeaseEvent.TimerFired());
            if (mFleet.expire(mClock.now())) {
                apply(FleetView.Change.RUNNERS);
            }
            decide(new ResidencyEvent.TimerFired());
            if (mLeases.holds(GatewayKeys.PLACEMENT, mClock.now())) {
                mEndpointLoads.publishIfDue(mFleet.members(), mClock.now());
            }
        } else if (input instanceof ResidencyInput.OrdersEnded) {
            LOGGER.log(Level.INFO, "[placement] orders-ended");
            mOrdersEnded = true;
            decide(new ResidencyEvent.TenureEnded());
            handOver();
        } else if (input instanceof ResidencyInput.StopRequested requested) {
            mLeasesReleased = requested.done();
            decide(new LeaseEvent.StopRequested());
        }
    }

    /**
     * Lets this daemon compete for the placement lease as soon as its key is removed or released,
     * and give it up if another daemon holds it or the key-value service came back from a copy.
     */
    private void observePlacementLease(StoreUpdate update) {
        for (LeaseEvent event : PlacementKeyEvents.of(update)) {
            if (event instanceof LeaseEvent.EraObserved) {
                mPlacementKeyRemovedAt = null;
                mExcessAtPause = mClock.excess();
            } else if (event instanceof LeaseEvent.KeyReleased released
                    && released.revision().equals(Revision.ABSENT)) {
                mPlacementKeyRemovedAt = mClock.now();
                mExcessAtPause = mClock.excess();
            }
            decide(event);
        }
    }

    private void recordReply(ResidencyEvent event) {
        if (event instanceof ResidencyEvent.OrderReplied replied) {
            mOrderHistory.orderReplied(replied, mClock.now());
            if (mOrdersEnded) {
                handOver();
            }
        }
    }

    /**
     * Releases the placement lease during a planned stop, once no order can still arrive. If the
     * lease is not held, only the candidacy is withdrawn. If an order gets no reply, the lease is
     * released at the stop instead, without a handover, and the next holder waits for the whole
     * pause.
     */
    private void handOver() {
        if (!mLeases.holds(GatewayKeys.PLACEMENT, mClock.now())) {
            decide(new LeaseEvent.HandoverRequested(GatewayKeys.PLACEMENT, null));
            return;
        }
        mOrderHistory
                .handover(steadyTime())
                .ifPresent(
                        handover -> {
                            LOGGER.log(
                                    Level.INFO,
                                    "[placement] handover ages=\""
                                            + handover.replace('\n', ',')
                                            + "\"");
                            decide(
                                    new LeaseEvent.HandoverRequested(
                                            GatewayKeys.PLACEMENT, handover));
                        });
    }

    private void apply(FleetView.Change change) {
        FleetConfiguration configuration = mFleet.configuration();
        if (change == FleetView.Change.CONFIGURATION && configuration != null) {
            decide(new ResidencyEvent.ConfigurationChanged(configuration));
        } else if (change == FleetView.Change.RUNNERS) {
            List<RunnerRegistration> runners = mFleet.runners();
            mRunners.clear();
            runners.forEach(runner -> mRunners.put(runner.id(), runner));
            decide(new ResidencyEvent.RunnersListed(runners));
        }
    }

    private void decide(LeaseEvent event) {
        for (LeaseDecision decision : mLeases.decide(event, mClock.now())) {
            if (!mLeaseStoreOperations.execute(decision)) {
                leaseChanged(decision);
            }
        }
    }

    private void leaseChanged(LeaseDecision decision) {
        if (decision instanceof LeaseDecision.LeaseAcquired acquired) {
            LOGGER.log(Level.INFO, "[placement] lease-acquired name=" + acquired.name());
            if (acquired.name().equals(GatewayKeys.PLACEMENT) && !mOrdersEnded) {
                beginTenure(acquired.handover());
            }
        } else if (decision instanceof LeaseDecision.LeaseLost lost) {
            LOGGER.log(
                    Level.INFO,
                    "[placement] lease-lost name="
                            + lost.name()
                            + " reason="
                            + lost.reason()
                            + " events-waiting="
                            + mOwnRingUsage.used()
                            + " event-waited-ms="
                            + mOwnRingUsage.lastWait().toMillis());
            if (lost.name().equals(GatewayKeys.PLACEMENT)) {
                mPorts.runnerWatch().useLongPause();
                decide(new ResidencyEvent.TenureEnded());
            }
        } else if (decision instanceof LeaseDecision.AllLeasesReleased && mLeasesReleased != null) {
            mLeasesReleased.complete(true);
        }
    }

    /**
     * Begins a tenure, or resumes the last one. An unchanged token shows that the key was neither
     * removed nor written since this daemon lost the lease by its own clock. No other daemon can
     * have sent orders in between, so no further pause is needed.
     */
    private void beginTenure(@Nullable String handover) {
        FencingToken token = mLeases.token(GatewayKeys.PLACEMENT);
        Instant now = mClock.now();
        boolean isResumed = token.equals(mLastToken);
        mLastToken = token;
        if (!isResumed) {
            if (mPlacementKeyRemovedAt == null && !mLeases.earlierHoldersUntil().isAfter(now)) {
                mExcessAtPause = mClock.excess();
            }
            mOrderHistory.begin(handover, latestOrderOfPreviousHolder(now), now);
        }
        mPorts.runnerWatch().useShortPause();
        Instant ordersFrom = mOrderHistory.ordersFrom(now);
        Map<EndpointId, Instant> deferredRunners = mOrderHistory.deferredRunners(now);
        mOrdersFrom = ordersFrom;
        mDeferredRunners = deferredRunners;
        LOGGER.log(
                Level.INFO,
                "[placement] tenure-began token="
                        + token
                        + " orders-in-ms="
                        + Duration.between(now, ordersFrom).toMillis()
                        + " resumed="
                        + isResumed
                        + " handed-over="
                        + (handover != null)
                        + " later-runners="
                        + deferredRunners.size());
        decide(new ResidencyEvent.TenureBegan(token, ordersFrom, deferredRunners));
    }

    /**
     * Returns the latest time at which a previous holder may send an order: a safety margin before
     * its key was removed, or the current time if the removal was not observed. A holder that has
     * not seen that the key-value service came back from a copy may order for some time after it.
     */
    private Instant latestOrderOfPreviousHolder(Instant now) {
        Instant removedAt = mPlacementKeyRemovedAt;
        mPlacementKeyRemovedAt = null;
        Instant latest = removedAt == null ? now : removedAt.minus(mSafetyMargin);
        Instant earlierHolders = mLeases.earlierHoldersUntil();
        return earlierHolders.isAfter(latest) ? earlierHolders : latest;
    }

    private void decide(ResidencyEvent event) {
        for (ResidencyDecision decision : mDecider.decide(event, mClock.now())) {
            execute(decision);
        }
    }

    private void execute(ResidencyDecision decision) {
        if (decision instanceof ResidencyDecision.SendOrder send) {
            send(send);
        } else if (decision instanceof ResidencyDecision.ReadState read) {
            readState(read.runner());
        } else if (decision instanceof ResidencyDecision.PublishResidency publish) {
            publish(publish);
        } else if (decision instanceof ResidencyDecision.ReportReadiness estimate) {
            sendEstimate(estimate);
        } else if (decision instanceof ResidencyDecision.ReportUnserved unserved) {
            logUnserved(unserved);
        } else if (decision instanceof ResidencyDecision.ScheduleTimer schedule) {
            Duration delay = Duration.between(mClock.now(), schedule.at());
            mTimer.schedule(
                    delay.isNegative() ? Duration.ZERO : delay,
                    mOwnRing,
                    new ResidencyInput.Placement(new ResidencyEvent.TimerFired()));
        }
    }

    /**
     * Returns whether the pause since the orders of other daemons is over also if the time of day
     * was set forward since it began.
     */
    private boolean isPauseOver(EndpointId runner) {
        Instant time = steadyTime();
        return !time.isBefore(mOrdersFrom)
                && !time.isBefore(mDeferredRunners.getOrDefault(runner, Instant.MIN));
    }

    /** Returns the time as counted by the monotonic clock since the pause of the tenure began. */
    private Instant steadyTime() {
        return mClock.now().minus(mClock.excess().minus(mExcessAtPause));
    }

    private void send(ResidencyDecision.SendOrder send) {
        ResidencyOrder order = send.order();
        RunnerRegistration runner = mRunners.get(order.runner());
        boolean mayOrder =
                mLeases.holds(GatewayKeys.PLACEMENT, mClock.now())
                        && mLeases.token(GatewayKeys.PLACEMENT).equals(order.token())
                        && isPauseOver(order.runner());
        LOGGER.log(
                Level.INFO,
                "[placement] order order="
                        + order.number()
                        + " runner="
                        + order.runner()
                        + " kind="
                        + order.kind()
                        + " model="
                        + order.model()
                        + " expected="
                        + order.expectedOrders()
                        + " token="
                        + order.token()
                        + " sent="
                        + (mayOrder && runner != null)
                        + " reason=\""
                        + send.reason()
                        + "\"");
        if (!mayOrder || runner == null) {
            offer(order, ResidencyOrderReply.NOT_SENT);
            return;
        }
        mOrderHistory.orderSent(order, mClock.now());
        mPorts.orders()
                .send(runner.address(), runner.instance(), mSettings.self().id().value(), order)
                .thenAccept(reply -> offer(order, reply));
    }

    private void offer(ResidencyOrder order, ResidencyOrderReply reply) {
        if (reply != ResidencyOrderReply.ACCEPTED) {
            LOGGER.log(
                    Level.INFO,
                    "[placement] order-reply order="
                            + order.number()
                            + " runner="
                            + order.runner()
                            + " reply="
                            + reply);
        }
        mOwnRing.offer(
                new ResidencyInput.Placement(
                        new ResidencyEvent.OrderReplied(order.runner(), order.number(), reply)));
    }

    private void readState(EndpointId id) {
        RunnerRegistration runner = mRunners.get(id);
        if (runner == null) {
            return;
        }
        mPorts.states()
                .read(runner.address())
                .thenAccept(
                        result -> mOwnRing.offer(new ResidencyInput.Placement(event(id, result))));
    }

    private static ResidencyEvent event(EndpointId id, FetchResult<RunnerState> result) {
        if (result instanceof FetchResult.Found<RunnerState> found) {
            return new ResidencyEvent.StateRead(id, found.value());
        }
        return new ResidencyEvent.StateReadFailed(
                id, ((FetchResult.Unavailable<RunnerState>) result).reason());
    }

    private void sendEstimate(ResidencyDecision.ReportReadiness estimate) {
        LOGGER.log(
                Level.INFO,
                "[placement] estimate target=\""
                        + estimate.target()
                        + "\" ready-in-ms="
                        + estimate.readyAfter().toMillis());
        for (MemberId daemon : estimate.daemons()) {
            GatewayMember.parse(daemon)
                    .ifPresent(
                            member ->
                                    mPorts.notifier()
                                            .notifyReadyTime(
                                                    member,
                                                    estimate.target(),
                                                    estimate.readyAfter()));
        }
    }

    private static void logUnserved(ResidencyDecision.ReportUnserved unserved) {
        LOGGER.log(
                Level.INFO,
                "[placement] unserved target=\""
                        + unserved.target()
                        + "\" for-ms="
                        + unserved.unservedFor().toMillis()
                        + " waiting="
                        + unserved.waiting()
                        + " cause="
                        + unserved.cause());
    }

    private void publish(ResidencyDecision.PublishResidency publish) {
        mPorts.notifier().notifyResidency(mSettings.self(), publish.residency());
        for (GatewayMember member : recipients(publish)) {
            if (!member.equals(mSettings.self())) {
                mPorts.notifier().notifyResidency(member, publish.residency());
            }
        }
    }

    /**
     * Returns the named daemons, or all members. A named daemon need not be a member: during a
     * planned stop it has released its leases, and its calls still wait for models.
     */
    private List<GatewayMember> recipients(ResidencyDecision.PublishResidency publish) {
        if (publish.daemons().isEmpty()) {
            return mFleet.members();
        }
        List<GatewayMember> recipients = new ArrayList<>();
        for (MemberId daemon : publish.daemons()) {
            GatewayMember.parse(daemon).ifPresent(recipients::add);
        }
        return recipients;
    }

    private void offer(LeaseEvent event) {
        mOwnRing.offer(new ResidencyInput.Lease(event));
    }
}
