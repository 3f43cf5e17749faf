package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.directory.DirectoryCaller;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.StatedPause;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.port.command.RunningAttempt;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.RefusedPattern;
import org.oleanderspring.core.quarantine.query.Quarantine;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.RouteKind;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.command.DefaultRoutingDecider;
import org.oleanderspring.core.routing.command.RoutingDecision;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.gateway.GatewayMember;
import org.oleanderspring.daemon.gateway.GatewaySettings;
import org.oleanderspring.daemon.gateway.StoreUpdate;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.process.SuspendAwareClock;
import org.oleanderspring.duty.command.ByteBudget;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.duty.command.EventSink;

/**
 * Routes the requests of one daemon: finds the route of each request, passes events to the decider
 * and executes its decisions. All state belongs to the duty's thread.
 *
 * <p>A response is forwarded to the caller only while its attempt is the current one of the call,
 * so a late response of a cancelled attempt is stopped. Events that arise while decisions are
 * executed are queued and passed to the decider afterwards.
 */
public final class GatewayRoutingDuty implements EventHandler<GatewayRoutingInput> {
    private static final int OK = 200;

    /** The lowest status that reports an error. */
    private static final int FIRST_ERROR = 400;

    /** A sixteenth of the heap, so that runners that send events without end cannot fill it. */
    private static final long MAX_INCOMPLETE_EVENT_BYTES = Runtime.getRuntime().maxMemory() / 16;

    private final GatewayMember mSelf;
    private final DefaultRoutingDecider mDecider;
    private final GatewayPorts mPorts;
    private final GatewayMeters mMeters;
    private final MonotonicClock mClock;
    private final EventSink<GatewayRoutingInput> mOwnRing;
    private final HostedFleet mFleet = new HostedFleet();
    private final GatewayAdmission mAdmission;
    private final Map<CallId, GatewayCall> mCalls = new HashMap<>();
    private final Map<AttemptId, ActiveAttempt> mActiveAttempts = new HashMap<>();
    private final DemandReporter mDemandReporter;
    private final PermitRequester mPermitRequester;
    private final AnswerRecorder mAnswerRecorder;
    private final ByteBudget mIncompleteEvents = new ByteBudget(MAX_INCOMPLETE_EVENT_BYTES);
    private final QuotaGate mQuotaGate;
    private final Deque<RoutingEvent> mPendingEvents = new ArrayDeque<>();
    private final IdleWaiters mIdleWaiters = new IdleWaiters();
    private GatewaySettings mSettings;
    private boolean mShuttingDown;

    /** The prompts whose calls are refused, or null before they are known. */
    private @Nullable Quarantine mQuarantine;

    /**
     * Creates the duty.
     *
     * @param settings the settings of the daemon
     * @param decider makes the routing decisions
     * @param ports the duty's outgoing interfaces
     * @param meters the metrics
     * @param clock gives the time of each event
     * @param storeClock the clock of the duty that follows the store
     * @param ownRing the ring of this duty, for events from the ports
     */
    public GatewayRoutingDuty(
            GatewaySettings settings,
            DefaultRoutingDecider decider,
            GatewayPorts ports,
            GatewayMeters meters,
            MonotonicClock clock,
            SuspendAwareClock storeClock,
            EventSink<GatewayRoutingInput> ownRing) {
        mSelf = settings.self();
        mSettings = settings;
        mDecider = decider;
        mPorts = ports;
        mAnswerRecorder = new AnswerRecorder(ports.prompts());
        mDemandReporter = new DemandReporter(ports.placement(), mFleet);
        mPermitRequester = new PermitRequester(ports.permits(), mFleet);
        mAdmission = new GatewayAdmission(mFleet, settings.revocationLimit(), storeClock);
        meters.registerProofAge(mAdmission::proofAgeMillis);
        mMeters = meters;
        mQuotaGate =
                new QuotaGate(
                        ports.shares(),
                        mFleet,
                        storeClock,
                        meters.registry(),
                        clock.now().toEpochMilli() << Integer.SIZE / 2);
        mClock = clock;
        mOwnRing = ownRing;
    }

    @Override
    public void handle(GatewayRoutingInput input) {
        if (input instanceof GatewayRoutingInput.RequestRead read) {
            accept(read.request());
        } else if (input instanceof GatewayRoutingInput.RunnerStated stated) {
            runnerStated(stated.runner(), stated.statement());
        } else if (input instanceof GatewayRoutingInput.ResponseBegan began) {
            admit(began);
        } else if (input instanceof GatewayRoutingInput.ResponseInvalid invalid) {
            failInvalid(invalid);
        } else if (input instanceof GatewayRoutingInput.Event event) {
            handle(event.event());
        } else if (input instanceof GatewayRoutingInput.StoreChanged changed) {
            storeChanged(changed.update());
        } else if (input instanceof GatewayRoutingInput.ResidencyReceived received) {
            mFleet.apply(received.residency(), mClock.now()).ifPresent(this::decide);
        } else if (input instanceof GatewayRoutingInput.ReadinessEstimated estimated) {
            decide(
                    new RoutingEvent.ReadinessEstimated(
                            estimated.target(), mClock.now().plus(estimated.readyAfter())));
        } else if (input instanceof GatewayRoutingInput.EndpointLoadsReceived received) {
            received.loads().forEach(load -> noteLeaving(load.endpoint(), load.statement()));
            decide(new RoutingEvent.EndpointLoadsReported(received.loads()));
        } else if (input instanceof GatewayRoutingInput.PermitsReceived received) {
            mMeters.permitsReceived(received.grant());
            decide(new RoutingEvent.PermitsGranted(received.grant()));
        } else if (input instanceof GatewayRoutingInput.ShareReceived received) {
            release(mQuotaGate.granted(received.grant()));
        } else if (input instanceof GatewayRoutingInput.QuarantineChanged changed) {
            quarantineChanged(changed.quarantine());
        } else if (input instanceof GatewayRoutingInput.DemandReportDue) {
            mAnswerRecorder.answering(mActiveAttempts, mCalls);
            mAnswerRecorder.report();
            mDemandReporter.reportDemand(mCalls.values(), mActiveAttempts.keySet());
            decide(new RoutingEvent.EndpointUseReportDue());
            mMeters.refusedServable(mDecider.counters().refusedServable());
        } else {
            handleControlInput(input);
        }
        if (mCalls.isEmpty()) {
            mIdleWaiters.complete();
        }
    }

    private void runnerStated(EndpointId runner, EndpointStatement statement) {
        noteLeaving(runner, statement);
        if (mFleet.limitStated(runner, statement.limit())) {
            CallLog.runnerLimit(runner, statement.limit());
        }
        if (!(statement.pause() instanceof StatedPause.None)) {
            CallLog.runnerPauses(runner, statement.pause());
            mMeters.runnerPauses();
        }
        decide(new RoutingEvent.EndpointStated(runner, statement));
    }

    private void noteLeaving(EndpointId runner, EndpointStatement statement) {
        if (statement.leaving() && mFleet.markLeaving(runner, mClock.now())) {
            CallLog.runnerLeaves(runner);
            mMeters.runnerLeaves();
        }
    }

    private void handle(RoutingEvent event) {
        if (event instanceof RoutingEvent.TimerFired) {
            mFleet.expire(mClock.now()).ifPresent(this::decide);
            release(mQuotaGate.expire());
        }
        decide(event);
    }

    private void handleControlInput(GatewayRoutingInput input) {
        if (input instanceof GatewayRoutingInput.ReadinessRequested query) {
            query.reply().complete(isReady() && !mShuttingDown);
        } else if (input instanceof GatewayRoutingInput.AddressesRequested query) {
            query.reply().complete(addresses(query.caller()));
        } else if (input instanceof GatewayRoutingInput.IdleAwaited query) {
            mIdleWaiters.add(query.reply());
        } else if (input instanceof GatewayRoutingInput.ShutdownBegan began) {
            mShuttingDown = true;
            decide(new RoutingEvent.ShutdownAnnounced(mClock.now().plus(began.limit())));
        } else if (input instanceof GatewayRoutingInput.SettingsChanged changed) {
            mSettings = changed.settings();
            updateLimits();
        }
    }

    private boolean isReady() {
        return mFleet.isKnown() && mQuarantine != null;
    }

    private List<String> addresses(DirectoryCaller caller) {
        return mFleet.addresses(mSelf, !mShuttingDown && isReady(), caller);
    }

    private void apply(Optional<RoutingEvent> tableChange) {
        if (!mFleet.hasConfiguration()) {
            return;
        }
        tableChange.ifPresent(this::decide);
        updateLimits();
        updateAuthority();
    }

    private void storeChanged(StoreUpdate update) {
        if (update instanceof StoreUpdate.Confirmed confirmed) {
            mAdmission.confirmed(confirmed);
            return;
        }
        FleetConfiguration before = mFleet.view().configuration();
        Optional<RoutingEvent> tableChange = mFleet.apply(update, mClock.now());
        if (mFleet.view().configuration() != before) {
            mMeters.configured(mFleet.view().organisations());
            // Before the new table, which may start calls that wait.
            mAdmission.withdrawals(mCalls.values()).forEach(this::decide);
        }
        apply(tableChange);
    }

    private void updateAuthority() {
        decide(new RoutingEvent.AuthorityChanged(isReady()));
    }

    private void quarantineChanged(Quarantine quarantine) {
        mQuarantine = quarantine;
        decide(new RoutingEvent.QuarantineChanged(quarantine));
        updateAuthority();
    }

    private void updateLimits() {
        decide(
                new RoutingEvent.LimitsChanged(
                        GatewayLimits.of(mSettings, mFleet.view().members().size())));
    }

    private void accept(GatewayRequest request) {
        if (request.caller().hasDisconnected()) {
            request.stream().abandon();
            return;
        }
        GatewayAdmission.Result result = mAdmission.admit(request);
        if (!(result instanceof GatewayAdmission.Result.Admitted admitted)) {
            refuse(request, ((GatewayAdmission.Result.Refused) result).refusal());
            return;
        }
        GatewayCall call = admitted.call();
        mMeters.admitted(call.caller());
        if (mQuotaGate.admit(call)) {
            begin(call);
        }
    }

    private void release(QuotaGate.Released released) {
        released.admitted().forEach(this::begin);
        released.refused().forEach(each -> refuse(each.call().request(), each.refusal()));
    }

    private void begin(GatewayCall call) {
        mCalls.put(call.call().id(), call);
        mDemandReporter.countArrival(call.call().target());
        decide(new RoutingEvent.CallArrived(call.call()));
    }

    private void refuse(GatewayRequest request, Refusal refusal) {
        CallLog.refused(request, refusal);
        mMeters.refused(refusal.message());
        request.stream().refuse(refusal);
    }

    /**
     * Forwards a response, if its attempt is still the current one of the call. An attempt that
     * resumes a stream fails if its status is not 200, because its body cannot continue the stream.
     */
    private void admit(GatewayRoutingInput.ResponseBegan began) {
        GatewayCall call = mCalls.get(began.attempt().call());
        ActiveAttempt active = mActiveAttempts.get(began.attempt());
        if (call == null || active == null) {
            began.relay().stop();
            return;
        }
        if (call.response().hasBegun() && began.status() != OK) {
            fail(began.attempt(), active, "status " + began.status());
            return;
        }
        decide(new RoutingEvent.ResponseBegan(began.attempt(), began.status() >= FIRST_ERROR));
        if (!mActiveAttempts.containsKey(began.attempt())) {
            began.relay().stop();
            return;
        }
        mActiveAttempts.put(
                began.attempt(),
                active.withResponse(new ActiveAttempt.Response(mClock.now(), began.status())));
        call.response().begin(began.status(), began.headers());
        began.relay().admit();
    }

    private void failInvalid(GatewayRoutingInput.ResponseInvalid invalid) {
        ActiveAttempt active = mActiveAttempts.get(invalid.attempt());
        if (active != null) {
            fail(invalid.attempt(), active, invalid.reason());
        }
    }

    /** Ends an attempt whose response has begun and cannot be used. */
    private void fail(AttemptId attempt, ActiveAttempt active, String reason) {
        active.relay().stop();
        active.attempt().cancel();
        decide(new RoutingEvent.AttemptFinished(attempt, new AttemptOutcome.Failed(reason, true)));
    }

    private void decide(RoutingEvent first) {
        mPendingEvents.add(first);
        while (!mPendingEvents.isEmpty()) {
            RoutingEvent event = mPendingEvents.remove();
            Instant now = mClock.now();
            if (event instanceof RoutingEvent.AttemptFinished finished) {
                removeEndedAttempt(finished);
            }
            for (RoutingDecision decision : mDecider.decide(event, now)) {
                execute(decision, now);
            }
            if (event instanceof RoutingEvent.CallerDisconnected disconnected) {
                removeDisconnected(disconnected.call());
            }
        }
    }

    private void removeEndedAttempt(RoutingEvent.AttemptFinished finished) {
        ActiveAttempt active = mActiveAttempts.remove(finished.attempt());
        GatewayCall call = mCalls.get(finished.attempt().call());
        if (active == null || call == null) {
            return;
        }
        mMeters.attemptEnded(finished.outcome());
        mAnswerRecorder.attemptEnded(
                call,
                active,
                finished.outcome(),
                mFleet.isLeaving(active.runner().id()),
                mClock.now());
        if (finished.outcome() instanceof AttemptOutcome.Completed) {
            return;
        }
        CallLog.attemptFailed(
                call, finished, active.runner().id(), active.responseAge(mClock.now()));
    }

    private void removeDisconnected(CallId id) {
        GatewayCall call = mCalls.remove(id);
        mQuotaGate.ended(id);
        if (call == null) {
            return;
        }
        Duration elapsed = Duration.between(call.request().arrivedAt(), mClock.now());
        CallLog.callerDisconnected(call, elapsed);
        mMeters.callerDisconnected();
        mMeters.unserved(call.call().target());
        call.response().abandon();
    }

    private void execute(RoutingDecision decision, Instant now) {
        if (decision instanceof RoutingDecision.StartAttempt start) {
            start(start, now);
        } else if (decision instanceof RoutingDecision.Refuse refuse) {
            refuse(refuse, now);
        } else if (decision instanceof RoutingDecision.FinishCall finish) {
            finish(finish.call(), now);
        } else if (decision instanceof RoutingDecision.CancelAttempt cancel) {
            cancel(cancel);
        } else if (decision instanceof RoutingDecision.RequestLoad request) {
            mDemandReporter.requestLoad(request, now);
            mMeters.loadRequested();
        } else if (decision instanceof RoutingDecision.ReportEndpointUse report) {
            mDemandReporter.reportEndpointUse(report.uses());
        } else if (decision instanceof RoutingDecision.RequestPermits request) {
            mPermitRequester.send(request.request());
        }
    }

    private void start(RoutingDecision.StartAttempt start, Instant now) {
        AttemptId attempt = start.attempt();
        GatewayCall call = mCalls.get(attempt.call());
        RunnerRegistration runner = mFleet.runner(start.endpoint());
        if (call == null || runner == null) {
            mPendingEvents.add(
                    new RoutingEvent.AttemptFinished(
                            attempt,
                            new AttemptOutcome.NotRun(
                                    "the call has ended or the runner is not registered", true)));
            return;
        }
        if (call.request().caller().hasDisconnected()) {
            mPendingEvents.add(new RoutingEvent.CallerDisconnected(attempt.call()));
            return;
        }
        Duration waited = Duration.between(call.request().arrivedAt(), now);
        CallLog.attemptStarted(call, start, waited, mFleet.view().configuration());
        mMeters.attemptStarted();
        if (mSettings.domainPrice() > 0) {
            mMeters.attemptBetween(mSettings.failureDomain(), runner.failureDomain());
        }
        mQuotaGate.started(attempt.call());
        boolean stream = call.route().kind() == RouteKind.STREAMING;
        GatewayResponseRelay relay =
                new GatewayResponseRelay(
                        attempt,
                        runner.id(),
                        mFleet.isLimited(runner.id()),
                        call.response(),
                        mOwnRing,
                        stream ? new EventStreamSplitter(mIncompleteEvents) : null);
        RunningAttempt running =
                mPorts.endpoints()
                        .start(
                                GatewayCallFactory.newAttempt(call, runner, start.deadline(), now),
                                relay);
        mActiveAttempts.put(attempt, new ActiveAttempt(running, relay, runner, now, null));
    }

    private void refuse(RoutingDecision.Refuse refuse, Instant now) {
        GatewayCall call = mCalls.remove(refuse.call());
        mQuotaGate.ended(refuse.call());
        if (call == null) {
            return;
        }
        Duration elapsed = Duration.between(call.request().arrivedAt(), now);
        PromptPattern pattern = quarantinedPattern(call, refuse.reason());
        CallLog.refused(call, refuse, pattern, elapsed);
        ErrorMessage message = ErrorMessage.valueOf(refuse.reason().name());
        mMeters.refused(message);
        if (pattern != null) {
            mMeters.quarantined(pattern);
            mAnswerRecorder.refused(pattern);
        } else if (refuse.reason() != RefusalReason.UNKNOWN_TARGET) {
            mMeters.unserved(call.call().target());
        }
        call.response()
                .refuse(
                        new Refusal(
                                message,
                                message.format(call.call().target()),
                                refuse.workState(),
                                refuse.readyIn()));
    }

    /** Returns the pattern by which a call is refused, or null if it is refused otherwise. */
    private @Nullable PromptPattern quarantinedPattern(GatewayCall call, RefusalReason reason) {
        boolean isByPrompt =
                reason == RefusalReason.QUARANTINED || reason == RefusalReason.SUSPECTED;
        if (!isByPrompt || mQuarantine == null) {
            return null;
        }
        RefusedPattern refused = mQuarantine.find(call.call().prompt());
        return refused == null ? null : refused.pattern();
    }

    private void finish(CallId id, Instant now) {
        GatewayCall call = mCalls.remove(id);
        if (call == null) {
            return;
        }
        mMeters.served(call.call().target(), Duration.between(call.request().arrivedAt(), now));
        call.response().finish();
    }

    private void cancel(RoutingDecision.CancelAttempt cancel) {
        ActiveAttempt active = mActiveAttempts.remove(cancel.attempt());
        GatewayCall call = mCalls.get(cancel.attempt().call());
        if (active == null) {
            return;
        }
        CallLog.attemptCancelled(call, cancel, active.runner().id());
        active.relay().stop();
        active.attempt().cancel();
    }
}
