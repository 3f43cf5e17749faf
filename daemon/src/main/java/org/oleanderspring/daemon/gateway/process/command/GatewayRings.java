package org.oleanderspring.daemon.gateway.process.command;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.watch.command.WatchEvent;
import org.oleanderspring.core.directory.DirectoryCaller;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.SuspectCall;
import org.oleanderspring.core.quarantine.command.QuarantineEvent;
import org.oleanderspring.core.residency.command.ResidencyEvent;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.daemon.gateway.front.command.GatewayIntake;
import org.oleanderspring.daemon.gateway.permit.command.PermitInput;
import org.oleanderspring.daemon.gateway.placement.command.ResidencyInput;
import org.oleanderspring.daemon.gateway.quarantine.command.QuarantineInput;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRequest;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRoutingInput;
import org.oleanderspring.daemon.gateway.routing.command.PromptObserver;
import org.oleanderspring.daemon.gateway.share.command.ShareInput;
import org.oleanderspring.duty.command.DutyThread;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.command.OfferResult;
import org.oleanderspring.duty.command.ReservingSink;
import org.oleanderspring.duty.command.RetryingSink;

/** The threads of the gateway's duties, each with its bounded ring, and their timer. */
final class GatewayRings implements GatewayIntake, PromptObserver, AutoCloseable {
    private static final int ROUTING_CAPACITY = 8_192;
    private static final int PLACEMENT_CAPACITY = 2_048;
    private static final int QUARANTINE_CAPACITY = 1_024;

    /** Several times the calls to the key-value service that are in flight at a time. */
    private static final int STORE_WATCH_CAPACITY = 256;

    /** Several times the requests of 100 daemons for a part of each quota at the same time. */
    private static final int SHARE_CAPACITY = 2_048;

    /** Less than half of the interval between two confirmations. */
    private static final Duration SHARE_TICK = Duration.ofMillis(100);

    /** A request that finds no room is repeated by its daemon. */
    private static final int PERMIT_CAPACITY = 1_024;

    /**
     * Messages of other daemons about their demand, which are repeated several times a second,
     * leave this part of the ring to replies of the key-value service and of runners.
     */
    private static final int PLACEMENT_RESERVE = PLACEMENT_CAPACITY / 2;

    /** A call past its deadline ends at most this much later, which callers do not notice. */
    private static final Duration ROUTING_TICK = Duration.ofMillis(100);

    private static final Duration PLACEMENT_TICK = Duration.ofMillis(100);

    /** Ends retention times and refusals, which last minutes. */
    private static final Duration QUARANTINE_TICK = Duration.ofSeconds(1);

    /**
     * How often the running, waiting and arrived calls for each model are reported to the holder of
     * the placement lease.
     */
    private static final Duration DEMAND_PERIOD = Duration.ofMillis(250);

    private final DutyThread<GatewayRoutingInput> mRouting =
            new DutyThread<>("routing", ROUTING_CAPACITY, DutyEventKinds::of);
    private final DutyThread<ResidencyInput> mPlacement =
            new DutyThread<>("placement", PLACEMENT_CAPACITY, DutyEventKinds::of);
    private final DutyThread<QuarantineInput> mQuarantine =
            new DutyThread<>("quarantine", QUARANTINE_CAPACITY, DutyEventKinds::of);
    private final DutyThread<WatchEvent> mStoreWatch =
            new DutyThread<>("store-watch", STORE_WATCH_CAPACITY);
    private final DutyThread<PermitInput> mPermits = new DutyThread<>("permits", PERMIT_CAPACITY);
    private final DutyThread<ShareInput> mShares = new DutyThread<>("shares", SHARE_CAPACITY);
    private final DutyTimer mTimer = new DutyTimer();
    private final EventSink<GatewayRoutingInput> mRoutingSink =
            new RetryingSink<>(mRouting, mTimer);
    private final EventSink<ResidencyInput> mPlacementSink = new RetryingSink<>(mPlacement, mTimer);
    private final EventSink<QuarantineInput> mQuarantineSink =
            new RetryingSink<>(mQuarantine, mTimer);
    private final EventSink<WatchEvent> mStoreWatchSink = new RetryingSink<>(mStoreWatch, mTimer);
    private final EventSink<ShareInput> mShareSink = new RetryingSink<>(mShares, mTimer);
    private final EventSink<ResidencyInput> mDemandSink =
            new ReservingSink<>(mPlacement, mPlacement, PLACEMENT_RESERVE);

    GatewayRings() {
        mRouting.onLoad(load -> DutyLoadLog.log("routing", load));
        mPlacement.onLoad(load -> DutyLoadLog.log("placement", load));
        mQuarantine.onLoad(load -> DutyLoadLog.log("quarantine", load));
        mStoreWatch.onLoad(load -> DutyLoadLog.log("store-watch", load));
        mShares.onLoad(load -> DutyLoadLog.log("shares", load));
        mPermits.onLoad(load -> DutyLoadLog.log("permits", load));
    }

    DutyThread<GatewayRoutingInput> routing() {
        return mRouting;
    }

    DutyThread<ResidencyInput> placement() {
        return mPlacement;
    }

    DutyThread<QuarantineInput> quarantine() {
        return mQuarantine;
    }

    DutyThread<PermitInput> permits() {
        return mPermits;
    }

    DutyThread<ShareInput> shares() {
        return mShares;
    }

    /** Returns the sink for events of the duty that issues shared rates that must not be lost. */
    EventSink<ShareInput> shareSink() {
        return mShareSink;
    }

    DutyThread<WatchEvent> storeWatch() {
        return mStoreWatch;
    }

    /** Returns the sink for events of the duty that follows the key-value service. */
    EventSink<WatchEvent> storeWatchSink() {
        return mStoreWatchSink;
    }

    /** Returns the sink for events of the quarantine duty that must not be lost. */
    EventSink<QuarantineInput> quarantineSink() {
        return mQuarantineSink;
    }

    /** Returns the sink for events of the routing duty that must not be lost. */
    EventSink<GatewayRoutingInput> routingSink() {
        return mRoutingSink;
    }

    /** Returns the sink for events of the placement duty that must not be lost. */
    EventSink<ResidencyInput> placementSink() {
        return mPlacementSink;
    }

    DutyTimer timer() {
        return mTimer;
    }

    /** Starts the periodic events of the duties. An event is dropped if its ring is full. */
    void startTicks() {
        mTimer.scheduleAtFixedRate(
                ROUTING_TICK,
                mRouting,
                () -> new GatewayRoutingInput.Event(new RoutingEvent.TimerFired()));
        mTimer.scheduleAtFixedRate(
                DEMAND_PERIOD, mRouting, GatewayRoutingInput.DemandReportDue::new);
        mTimer.scheduleAtFixedRate(SHARE_TICK, mShares, ShareInput.TimerFired::new);
        mTimer.scheduleAtFixedRate(PLACEMENT_TICK, mPlacement, ResidencyInput.TimerFired::new);
        mTimer.scheduleAtFixedRate(
                QUARANTINE_TICK,
                mQuarantine,
                () -> new QuarantineInput.Event(new QuarantineEvent.TimerFired()));
    }

    @Override
    public OfferResult accept(GatewayRequest request) {
        return mRouting.offer(new GatewayRoutingInput.RequestRead(request));
    }

    @Override
    public void callerDisconnected(CallId call) {
        mRoutingSink.offer(
                new GatewayRoutingInput.Event(new RoutingEvent.CallerDisconnected(call)));
    }

    @Override
    public void answerBroken(RunnerRegistration runner, SuspectCall call) {
        mQuarantineSink.offer(new QuarantineInput.AnswerBroken(runner, call));
    }

    /** Offers answered prompts to the quarantine duty; lost if its ring is full. */
    @Override
    public void callsAnswered(Set<Prompt> prompts) {
        mQuarantine.offer(new QuarantineInput.Event(new QuarantineEvent.CallsAnswered(prompts)));
    }

    /** Offers the patterns of refused calls to the quarantine duty; lost if its ring is full. */
    @Override
    public void callsRefused(Set<PromptPattern> patterns) {
        mQuarantine.offer(new QuarantineInput.Event(new QuarantineEvent.CallsRefused(patterns)));
    }

    /** Offers a message of another daemon to the quarantine duty; lost if its ring is full. */
    OfferResult offerQuarantine(QuarantineEvent event) {
        return mQuarantine.offer(new QuarantineInput.Event(event));
    }

    /** Returns whether the daemon is ready; false if the routing ring is full. */
    CompletableFuture<Boolean> readiness() {
        CompletableFuture<Boolean> reply = new CompletableFuture<>();
        if (mRouting.offer(new GatewayRoutingInput.ReadinessRequested(reply))
                != OfferResult.ACCEPTED) {
            reply.complete(false);
        }
        return reply;
    }

    /** Returns the addresses to which a client may connect; empty if the routing ring is full. */
    CompletableFuture<List<String>> addresses(DirectoryCaller caller) {
        CompletableFuture<List<String>> reply = new CompletableFuture<>();
        if (mRouting.offer(new GatewayRoutingInput.AddressesRequested(caller, reply))
                != OfferResult.ACCEPTED) {
            reply.complete(List.of());
        }
        return reply;
    }

    /**
     * Offers a message about the demand at a daemon to the placement duty. It is lost if only the
     * part of the ring that is reserved for replies is free.
     */
    void offerDemand(ResidencyEvent event) {
        offerDemand(new ResidencyInput.Placement(event));
    }

    /** Offers a message about the calls at a daemon, like {@link #offerDemand(ResidencyEvent)}. */
    void offerDemand(ResidencyInput input) {
        mDemandSink.offer(input);
    }

    @Override
    public void close() {
        mTimer.close();
        mStoreWatch.close();
        mPermits.close();
        mShares.close();
        mPlacement.close();
        mQuarantine.close();
        mRouting.close();
    }
}
