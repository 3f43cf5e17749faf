package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.port.command.RunningAttempt;
import org.oleanderspring.core.residency.query.HostedRoutingTableBuilder;
import org.oleanderspring.core.residency.query.ResidencyView;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.Route;
import org.oleanderspring.core.route.RouteKind;
import org.oleanderspring.core.route.query.RouteIndex;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.command.DefaultRoutingDecider;
import org.oleanderspring.core.routing.command.RoutingDecision;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.gateway.FleetView;
import org.oleanderspring.daemon.gateway.GatewayMember;
import org.oleanderspring.daemon.gateway.GatewaySettings;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.duty.command.EventSink;

/**
 * Routes the requests of one daemon: finds the route of each, lets the decider choose, and carries
 * its decisions out.
 */
public final class GatewayRoutingDuty implements EventHandler<GatewayRoutingInput> {
    /** Calls that wait are bounded by their deadlines; this bounds the memory that they take. */
    private static final int QUEUE_LIMIT = 512;

    /** The routes bound the attempts of a call; this bounds a route that allows too many. */
    private static final int ATTEMPT_LIMIT = 8;

    private static final Duration WAKE_REPEAT = Duration.ofMillis(200);
    private static final int OK = 200;

    private final GatewayMember mSelf;
    private final DefaultRoutingDecider mDecider;
    private final GatewayPorts mPorts;
    private final GatewayMeters mMeters;
    private final MonotonicClock mClock;
    private final EventSink<GatewayRoutingInput> mOwnRing;
    private final FleetView mFleet = new FleetView("[gateway]");
    private final ResidencyView mResidency = new ResidencyView();
    private final Map<EndpointId, RunnerRegistration> mRunners = new HashMap<>();
    private final Map<CallId, GatewayCall> mCalls = new HashMap<>();
    private final Map<AttemptId, Running> mRunning = new HashMap<>();
    private final DemandCounter mDemand = new DemandCounter();
    private final Deque<RoutingEvent> mFollowing = new ArrayDeque<>();
    private final List<CompletableFuture<Boolean>> mQuietWaiters = new ArrayList<>();
    private @Nullable RouteIndex mRoutes;
    private @Nullable HostedRoutingTableBuilder mTable;
    private GatewaySettings mSettings;
    private boolean mLeaving;

    private record Running(RunningAttempt attempt, GatewayRelay relay, EndpointId endpoint) {}

    /**
     * Creates the duty.
     *
     * @param settings the settings of the daemon
     * @param decider decides on the calls
     * @param ports what the duty acts through
     * @param meters counts what happens
     * @param clock the time of all events
     * @param ownRing takes what the ports report
     */
    public GatewayRoutingDuty(
            GatewaySettings settings,
            DefaultRoutingDecider decider,
            GatewayPorts ports,
            GatewayMeters meters,
            MonotonicClock clock,
            EventSink<GatewayRoutingInput> ownRing) {
        mSelf = settings.self();
        mSettings = settings;
        mDecider = decider;
        mPorts = ports;
        mMeters = meters;
        mClock = clock;
        mOwnRing = ownRing;
    }

    @Override
    public void handle(GatewayRoutingInput input) {
        if (input instanceof GatewayRoutingInput.RequestRead read) {
            accept(read.request());
        } else if (input instanceof GatewayRoutingInput.ResponseBegan began) {
            admit(began);
        } else if (input instanceof GatewayRoutingInput.Event event) {
            handle(event.event());
        } else if (input instanceof GatewayRoutingInput.StoreChanged changed) {
            apply(mFleet.apply(changed.update(), mClock.now()));
        } else if (input instanceof GatewayRoutingInput.ResidencyReceived stated) {
            if (mResidency.applyStatement(stated.residency(), mClock.now())) {
                changeTable();
            }
        } else if (input instanceof GatewayRoutingInput.ReadinessEstimated estimated) {
            decide(
                    new RoutingEvent.ReadinessEstimated(
                            estimated.target(), mClock.now().plus(estimated.readyAfter())));
        } else if (input instanceof GatewayRoutingInput.DemandReportDue) {
            reportDemand();
        } else {
            answer(input);
        }
        answerQuietWaiters();
    }

    private void handle(RoutingEvent event) {
        if (event instanceof RoutingEvent.TimerFired && mFleet.expire(mClock.now())) {
            apply(FleetView.Change.RUNNERS);
        }
        decide(event);
    }

    private void answer(GatewayRoutingInput input) {
        if (input instanceof GatewayRoutingInput.ReadinessAsked asked) {
            asked.reply().complete(isReady() && !mLeaving);
        } else if (input instanceof GatewayRoutingInput.AddressesAsked asked) {
            asked.reply().complete(addresses());
        } else if (input instanceof GatewayRoutingInput.IdleAwaited asked) {
            mQuietWaiters.add(asked.reply());
        } else if (input instanceof GatewayRoutingInput.ShutdownBegan) {
            mLeaving = true;
        } else if (input instanceof GatewayRoutingInput.SettingsChanged changed) {
            mSettings = changed.settings();
            changeLimits();
        }
    }

    private boolean isReady() {
        return mFleet.configuration() != null && mFleet.hasRunners();
    }

    private List<String> addresses() {
        List<String> addresses = new ArrayList<>();
        for (GatewayMember member : mFleet.members()) {
            if (!member.equals(mSelf)) {
                addresses.add(text(member));
            }
        }
        if (!mLeaving && isReady()) {
            addresses.add(text(mSelf));
        }
        return addresses;
    }

    private static String text(GatewayMember member) {
        return member.frontAddress().ip() + ":" + member.frontAddress().port();
    }

    private void apply(FleetView.Change part) {
        FleetConfiguration configuration = mFleet.configuration();
        if (part == FleetView.Change.NONE || configuration == null) {
            return;
        }
        if (part == FleetView.Change.CONFIGURATION) {
            mRoutes = new RouteIndex(configuration);
            mTable = new HostedRoutingTableBuilder(configuration);
        }
        if (part != FleetView.Change.DAEMONS) {
            changeTable();
        }
        changeLimits();
        decide(new RoutingEvent.AuthorityChanged(isReady()));
    }

    private void changeTable() {
        if (mTable == null) {
            return;
        }
        List<RunnerRegistration> runners = mFleet.runners();
        mRunners.clear();
        runners.forEach(runner -> mRunners.put(runner.id(), runner));
        mResidency.applyEntries(runners, mClock.now());
        decide(new RoutingEvent.TableChanged(mTable.build(runners, mResidency, mClock.now())));
    }

    /**
     * Half of the extra retries are left unused: a daemon that was restarted has lost count of the
     * retries that it made.
     */
    private void changeLimits() {
        int daemons = Math.max(1, mFleet.members().size());
        decide(
                new RoutingEvent.LimitsChanged(
                        new RoutingLimits(
                                QUEUE_LIMIT,
                                ATTEMPT_LIMIT,
                                mSettings.retryPercent(),
                                WAKE_REPEAT,
                                mSettings.extraRetries() / (2 * daemons),
                                mSettings.retryWindow())));
    }

    private void accept(GatewayRequest request) {
        FleetConfiguration configuration = mFleet.configuration();
        if (configuration == null || mRoutes == null) {
            refuse(request, Refusal.notRun(ErrorMessage.NO_AUTHORITY));
            return;
        }
        Optional<Route> route = mRoutes.find(request.host(), request.pathWithoutQuery());
        if (route.isEmpty()) {
            refuse(request, Refusal.notRun(ErrorMessage.UNKNOWN_PATH, request.pathWithoutQuery()));
            return;
        }
        int limit = configuration.limits().bodyBytes();
        if (request.body().length > limit) {
            refuse(request, Refusal.notRun(ErrorMessage.BODY_TOO_LARGE, Integer.toString(limit)));
            return;
        }
        GatewayCall call = GatewayCalls.call(request, route.get(), configuration);
        mCalls.put(request.id(), call);
        mDemand.arrived(call.call().target());
        decide(new RoutingEvent.CallArrived(call.call()));
    }

    private void refuse(GatewayRequest request, Refusal refusal) {
        CallLog.refused(request, refusal);
        mMeters.refused(refusal.message());
        request.stream().refuse(refusal);
    }

    /** Lets an answer pass, if the attempt is still the current one of its call. */
    private void admit(GatewayRoutingInput.ResponseBegan began) {
        GatewayCall call = mCalls.get(began.attempt().call());
        Running running = mRunning.get(began.attempt());
        if (call == null || running == null) {
            began.relay().stop();
            return;
        }
        if (call.answer().hasBegun() && began.status() != OK) {
            running.relay().stop();
            running.attempt().cancel();
            decide(
                    new RoutingEvent.AttemptFinished(
                            began.attempt(),
                            new AttemptOutcome.Failed("status " + began.status(), true)));
            return;
        }
        decide(new RoutingEvent.ResponseBegan(began.attempt()));
        if (!mRunning.containsKey(began.attempt())) {
            began.relay().stop();
            return;
        }
        call.answer().begin(began.status(), began.headers());
        began.relay().admit();
    }

    private void decide(RoutingEvent first) {
        mFollowing.add(first);
        while (!mFollowing.isEmpty()) {
            RoutingEvent event = mFollowing.remove();
            Instant now = mClock.now();
            if (event instanceof RoutingEvent.AttemptFinished finished) {
                ended(finished);
            }
            for (RoutingDecision decision : mDecider.decide(event, now)) {
                carryOut(decision, now);
            }
            if (event instanceof RoutingEvent.CallerLeft left) {
                forgetLeft(left.call());
            }
        }
    }

    private void ended(RoutingEvent.AttemptFinished finished) {
        Running running = mRunning.remove(finished.attempt());
        GatewayCall call = mCalls.get(finished.attempt().call());
        if (running == null || call == null) {
            return;
        }
        mMeters.attemptEnded(finished.outcome());
        if (finished.outcome() instanceof AttemptOutcome.Completed) {
            return;
        }
        CallLog.attemptFailed(call, finished, running.endpoint());
    }

    private void forgetLeft(CallId id) {
        GatewayCall call = mCalls.remove(id);
        if (call == null) {
            return;
        }
        Duration held = Duration.between(call.request().arrivedAt(), mClock.now());
        CallLog.callerLeft(call, held);
        mMeters.callerLeft();
        call.answer().abandon();
    }

    private void carryOut(RoutingDecision decision, Instant now) {
        if (decision instanceof RoutingDecision.StartAttempt start) {
            start(start, now);
        } else if (decision instanceof RoutingDecision.Refuse refuse) {
            refuse(refuse, now);
        } else if (decision instanceof RoutingDecision.FinishCall finish) {
            finish(finish.call(), now);
        } else if (decision instanceof RoutingDecision.CancelAttempt cancel) {
            cancel(cancel);
        } else if (decision instanceof RoutingDecision.RequestLoad request) {
            requestLoad(request, now);
        }
    }

    private void start(RoutingDecision.StartAttempt start, Instant now) {
        AttemptId attempt = start.attempt();
        GatewayCall call = mCalls.get(attempt.call());
        RunnerRegistration runner = mRunners.get(start.endpoint());
        if (call == null || runner == null) {
            mFollowing.add(
                    new RoutingEvent.AttemptFinished(
                            attempt, new AttemptOutcome.NotRun("the runner is gone", true)));
            return;
        }
        Duration waited = Duration.between(call.request().arrivedAt(), now);
        CallLog.attemptStarted(call, start, waited, mFleet.configuration());
        mMeters.attemptStarted();
        boolean stream = call.route().kind() == RouteKind.STREAMING;
        GatewayRelay relay =
                new GatewayRelay(
                        attempt,
                        call.answer(),
                        mOwnRing,
                        stream ? new EventStreamSplitter() : null);
        RunningAttempt running =
                mPorts.endpoints()
                        .start(GatewayCalls.attempt(call, runner, start.deadline(), now), relay);
        mRunning.put(attempt, new Running(running, relay, start.endpoint()));
    }

    private void refuse(RoutingDecision.Refuse refuse, Instant now) {
        GatewayCall call = mCalls.remove(refuse.call());
        if (call == null) {
            return;
        }
        Duration held = Duration.between(call.request().arrivedAt(), now);
        CallLog.refused(call, refuse, held);
        ErrorMessage message = ErrorMessage.valueOf(refuse.reason().name());
        mMeters.refused(message);
        call.answer()
                .refuse(
                        new Refusal(
                                message,
                                message.format(call.call().target()),
                                refuse.workState(),
                                refuse.readyIn()));
    }

    private void finish(CallId id, Instant now) {
        GatewayCall call = mCalls.remove(id);
        if (call == null) {
            return;
        }
        mMeters.served(Duration.between(call.request().arrivedAt(), now));
        call.answer().finish();
    }

    private void cancel(RoutingDecision.CancelAttempt cancel) {
        Running running = mRunning.remove(cancel.attempt());
        GatewayCall call = mCalls.get(cancel.attempt().call());
        if (running == null) {
            return;
        }
        CallLog.attemptCancelled(call, cancel, running.endpoint());
        running.relay().stop();
        running.attempt().cancel();
    }

    private void requestLoad(RoutingDecision.RequestLoad request, Instant now) {
        Optional<GatewayMember> holder = mFleet.placementHolder();
        CallLog.loadRequested(request, holder.map(member -> member.id().value()).orElse("none"));
        mMeters.loadRequested();
        holder.ifPresent(
                member ->
                        mPorts.placement()
                                .requestLoad(
                                        member,
                                        request.target(),
                                        request.waiting(),
                                        Duration.between(now, request.earliestDeadline())));
    }

    private void reportDemand() {
        Optional<GatewayMember> holder = mFleet.placementHolder();
        if (holder.isEmpty()) {
            return;
        }
        Set<CallId> running = new HashSet<>();
        mRunning.keySet().forEach(attempt -> running.add(attempt.call()));
        mDemand.take(mCalls.values(), running)
                .forEach(
                        (service, demands) ->
                                mPorts.placement().reportDemand(holder.get(), service, demands));
    }

    private void answerQuietWaiters() {
        if (!mCalls.isEmpty() || mQuietWaiters.isEmpty()) {
            return;
        }
        mQuietWaiters.forEach(waiter -> waiter.complete(true));
        mQuietWaiters.clear();
    }
}
