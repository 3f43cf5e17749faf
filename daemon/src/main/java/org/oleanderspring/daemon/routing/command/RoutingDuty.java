package org.oleanderspring.daemon.routing.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.port.EndpointCall;
import org.oleanderspring.core.port.command.RunningAttempt;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.command.DefaultRoutingDecider;
import org.oleanderspring.core.routing.command.RoutingDecision;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.core.settings.FleetSettings;
import org.oleanderspring.core.settings.SettingName;
import org.oleanderspring.daemon.front.IncomingCall;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.command.OnDemandTicker;

/**
 * Executes the decisions of the routing decider. All state belongs to the duty's thread.
 *
 * <p>A response is forwarded to the caller only while its attempt is the current one of the call,
 * so a late response of a cancelled attempt is denied. Events that arise while decisions are
 * executed are queued and passed to the decider afterwards. The end of the authority to decide is
 * compared with this duty's own clock at each event, so it also takes effect if the thread of the
 * document duty is paused.
 */
public final class RoutingDuty implements EventHandler<RoutingInput> {
    private static final Logger LOGGER = System.getLogger(RoutingDuty.class.getName());

    /**
     * A key-value service that does not accept a record within this time is considered unavailable;
     * waiting longer would only delay the refusal.
     */
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);

    private final MemberId mDaemon;
    private final DefaultRoutingDecider mDecider;
    private final RoutingPorts mPorts;
    private final RoutingMeters mMeters;
    private final MonotonicClock mClock;
    private final EventSink<RoutingInput> mOwnRing;
    private final OnDemandTicker<RoutingInput> mTicker;
    private final Map<CallId, AcceptedCall> mCalls = new HashMap<>();
    private final Map<AttemptId, ActiveAttempt> mActiveAttempts = new HashMap<>();
    private final Deque<RoutingEvent> mPendingEvents = new ArrayDeque<>();
    private final List<CompletableFuture<Boolean>> mIdleWaiters = new ArrayList<>();
    private final RoutingTableAssembler mTableAssembler = new RoutingTableAssembler();
    private Duration mDefaultResponseTimeout =
            Duration.ofMillis(SettingName.DEFAULT_DEADLINE.defaultValue());
    private final ModelUseCounter mUseCounter = new ModelUseCounter();
    private Instant mAuthorityUntil = Instant.MIN;
    private boolean mMayDecide;
    private Duration mDeadlineLimit = Duration.ofMillis(SettingName.DEADLINE_LIMIT.defaultValue());

    private record ActiveAttempt(RunningAttempt attempt, ResponseRelay relay) {}

    /**
     * Creates the duty.
     *
     * @param daemon the id of this daemon
     * @param decider makes the routing decisions
     * @param ports the duty's outgoing interfaces
     * @param meters the metrics
     * @param clock gives the time of each event
     * @param ownRing the ring of this duty, for results of I/O
     * @param ticker triggers short ticks while there are calls
     */
    public RoutingDuty(
            MemberId daemon,
            DefaultRoutingDecider decider,
            RoutingPorts ports,
            RoutingMeters meters,
            MonotonicClock clock,
            EventSink<RoutingInput> ownRing,
            OnDemandTicker<RoutingInput> ticker) {
        mDaemon = daemon;
        mDecider = decider;
        mPorts = ports;
        mMeters = meters;
        mClock = clock;
        mOwnRing = ownRing;
        mTicker = ticker;
    }

    @Override
    public void handle(RoutingInput input) {
        checkAuthority();
        if (input instanceof RoutingInput.Event event) {
            decide(event.event());
        } else if (input instanceof RoutingInput.CallAccepted accepted) {
            accept(accepted.call());
        } else if (input instanceof RoutingInput.ResponseBegan began) {
            admit(began);
        } else if (input instanceof RoutingInput.SettingsChanged changed) {
            apply(changed.settings());
        } else if (input instanceof RoutingInput.AuthorityChanged authority) {
            mAuthorityUntil = authority.until();
            checkAuthority();
        } else if (input instanceof RoutingInput.UseReportDue) {
            mPorts.uses().report(mUseCounter.takeCounts(mCalls.values(), mActiveAttempts.keySet()));
        } else if (input instanceof RoutingInput.ModelsRequested query) {
            query.reply().complete(mTableAssembler.modelsAndAdapters());
        } else if (input instanceof RoutingInput.IdleAwaited query) {
            mIdleWaiters.add(query.reply());
        } else {
            updateTable(input);
        }
        completeIdleWaiters();
        if (!mCalls.isEmpty()) {
            mTicker.requestTick(mClock.now());
        }
    }

    private void updateTable(RoutingInput input) {
        if (input instanceof RoutingInput.VmsListed listed) {
            mTableAssembler.setVms(listed.vms());
        } else if (input instanceof RoutingInput.CatalogueListed listed) {
            mTableAssembler.setCatalogue(listed.checkpoints());
        } else if (input instanceof RoutingInput.PlanChanged changed) {
            mTableAssembler.setPlan(changed.plan());
        } else if (input instanceof RoutingInput.DaemonCountChanged counted) {
            mTableAssembler.setDaemonCount(counted.daemons());
        }
        decide(new RoutingEvent.TableChanged(mTableAssembler.build()));
    }

    /** Tells the decider if the daemon has gained or lost the authority to decide. */
    private void checkAuthority() {
        boolean mayDecide = mClock.now().isBefore(mAuthorityUntil);
        if (mayDecide != mMayDecide) {
            mMayDecide = mayDecide;
            decide(new RoutingEvent.AuthorityChanged(mayDecide));
        }
    }

    private void apply(FleetSettings settings) {
        mTableAssembler.setRunnerConcurrency((int) settings.value(SettingName.RUNNER_CONCURRENCY));
        decide(new RoutingEvent.TableChanged(mTableAssembler.build()));
        mDefaultResponseTimeout = Duration.ofMillis(settings.value(SettingName.DEFAULT_DEADLINE));
        mDeadlineLimit = Duration.ofMillis(settings.value(SettingName.DEADLINE_LIMIT));
        decide(
                new RoutingEvent.LimitsChanged(
                        new RoutingLimits(
                                (int) settings.value(SettingName.QUEUE_LIMIT),
                                (int) settings.value(SettingName.ATTEMPT_LIMIT),
                                (int) settings.value(SettingName.RETRY_BUDGET),
                                RoutingLimits.DEFAULT.activationInterval())));
    }

    private void accept(IncomingCall call) {
        Duration responseTimeout = call.responseTimeout();
        if (responseTimeout != null && responseTimeout.compareTo(mDeadlineLimit) > 0) {
            call.stream()
                    .refuse(
                            Refusal.notRun(
                                    ErrorMessage.BAD_HEADER,
                                    "X-Deadline-Ms",
                                    Long.toString(responseTimeout.toMillis()),
                                    "1 to " + mDeadlineLimit.toMillis() + " milliseconds"));
            return;
        }
        CallRequest request = call.toCallRequest(mDefaultResponseTimeout);
        mCalls.put(call.id(), new AcceptedCall(call, request));
        mUseCounter.countArrival(request.target());
        decide(new RoutingEvent.CallArrived(request));
    }

    private void admit(RoutingInput.ResponseBegan began) {
        AcceptedCall call = mCalls.get(began.attempt().call());
        if (call == null || !mActiveAttempts.containsKey(began.attempt())) {
            began.relay().deny();
            return;
        }
        decide(new RoutingEvent.ResponseBegan(began.attempt()));
        if (!mActiveAttempts.containsKey(began.attempt())) {
            began.relay().deny();
            return;
        }
        call.call().stream().begin(began.status(), began.headers());
        began.relay().admit();
    }

    private void decide(RoutingEvent first) {
        mPendingEvents.add(first);
        while (!mPendingEvents.isEmpty()) {
            RoutingEvent event = mPendingEvents.remove();
            Instant now = mClock.now();
            if (event instanceof RoutingEvent.AttemptFinished finished) {
                mActiveAttempts.remove(finished.attempt());
            }
            for (RoutingDecision decision : mDecider.decide(event, now)) {
                execute(decision, now);
            }
            if (event instanceof RoutingEvent.CallerDisconnected disconnected) {
                mCalls.remove(disconnected.call());
            }
        }
    }

    private void execute(RoutingDecision decision, Instant now) {
        if (decision instanceof RoutingDecision.StartAttempt start) {
            start(start, now);
        } else if (decision instanceof RoutingDecision.Refuse refuse) {
            refuse(refuse);
        } else if (decision instanceof RoutingDecision.FinishCall finish) {
            finish(finish.call());
        } else if (decision instanceof RoutingDecision.CancelAttempt cancel) {
            cancel(cancel);
        } else if (decision instanceof RoutingDecision.RequestActivation activation) {
            LOGGER.log(
                    Level.INFO,
                    "[routing] Activation of {0} requested; {1} calls are waiting.",
                    activation.model(),
                    activation.waiting());
            mMeters.activationRequested();
            mPorts.activations()
                    .requestActivation(
                            activation.model(),
                            activation.earliestDeadline(),
                            activation.waiting());
        } else if (decision instanceof RoutingDecision.RecordDispatch record) {
            AcceptedCall call = mCalls.get(record.call());
            if (call != null) {
                mPorts.claims()
                        .claim(record.call(), record.key(), claimDeadline(call.request(), now));
            }
        } else if (decision instanceof RoutingDecision.RecordOutcome outcome) {
            mPorts.claims().recordOutcome(outcome.key(), outcome.state());
        }
    }

    private static Instant claimDeadline(CallRequest request, Instant now) {
        Instant limit = now.plus(CLAIM_TIMEOUT);
        return limit.isBefore(request.deadline()) ? limit : request.deadline();
    }

    private void start(RoutingDecision.StartAttempt start, Instant now) {
        AttemptId attempt = start.attempt();
        AcceptedCall call = mCalls.get(attempt.call());
        Address address = mTableAssembler.addressOf(start.endpoint());
        if (call == null || address == null) {
            mPendingEvents.add(
                    new RoutingEvent.AttemptFinished(
                            attempt,
                            new AttemptOutcome.NotRun(
                                    "the call has ended or the endpoint left the VM list", true)));
            return;
        }
        LOGGER.log(
                Level.INFO,
                "[routing] Attempt {0} for {1} sent to {2}: {3}.",
                attempt,
                call.request().target(),
                start.endpoint(),
                start.reason());
        mMeters.attemptStarted();
        ResponseRelay relay = new ResponseRelay(attempt, call.call().stream(), mOwnRing);
        RunningAttempt active =
                mPorts.endpoints()
                        .start(
                                new EndpointCall(
                                        mDaemon + "/" + attempt,
                                        address,
                                        call.call().method(),
                                        call.call().path(),
                                        call.call().headers(),
                                        call.call().body(),
                                        call.request().priority(),
                                        Duration.between(now, start.deadline())),
                                relay);
        mActiveAttempts.put(attempt, new ActiveAttempt(active, relay));
    }

    private void refuse(RoutingDecision.Refuse refuse) {
        AcceptedCall call = mCalls.remove(refuse.call());
        if (call == null) {
            return;
        }
        LOGGER.log(
                Level.INFO,
                "[routing] {0} for {1} refused: {2}, work {3}.",
                refuse.call(),
                call.request().target(),
                refuse.reason(),
                refuse.workState());
        mMeters.refused(refuse.reason());
        ErrorMessage message = ErrorMessage.valueOf(refuse.reason().name());
        Object subject =
                refuse.reason() == RefusalReason.DUPLICATE_KEY
                        ? String.valueOf(call.request().idempotencyKey())
                        : call.request().target();
        call.call().stream()
                .refuse(new Refusal(message, message.format(subject), refuse.workState()));
    }

    private void finish(CallId id) {
        AcceptedCall call = mCalls.remove(id);
        if (call == null) {
            return;
        }
        mMeters.served();
        call.call().stream().finish();
    }

    private void cancel(RoutingDecision.CancelAttempt cancel) {
        ActiveAttempt active = mActiveAttempts.remove(cancel.attempt());
        if (active == null) {
            return;
        }
        LOGGER.log(
                Level.INFO,
                "[routing] Attempt {0} cancelled: {1}.",
                cancel.attempt(),
                cancel.reason());
        active.relay().deny();
        active.attempt().cancel();
    }

    private void completeIdleWaiters() {
        if (!mCalls.isEmpty() || mIdleWaiters.isEmpty()) {
            return;
        }
        mIdleWaiters.forEach(waiter -> waiter.complete(true));
        mIdleWaiters.clear();
    }
}
