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
import org.oleanderspring.duty.command.BusyTicker;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.duty.command.EventSink;

/** Carries out the decisions of routing. All of its state belongs to the routing thread. */
public final class RoutingDuty implements EventHandler<RoutingInput> {
    private static final Logger LOGGER = System.getLogger(RoutingDuty.class.getName());

    /**
     * A key-value service that takes no record within this time has an outage; waiting longer would
     * only delay the refusal.
     */
    private static final Duration CLAIM_LIMIT = Duration.ofSeconds(2);

    private final MemberId mDaemon;
    private final DefaultRoutingDecider mDecider;
    private final RoutingPorts mPorts;
    private final RoutingMeters mMeters;
    private final MonotonicClock mClock;
    private final EventSink<RoutingInput> mOwnRing;
    private final BusyTicker<RoutingInput> mTicker;
    private final Map<CallId, AcceptedCall> mCalls = new HashMap<>();
    private final Map<AttemptId, Running> mRunning = new HashMap<>();
    private final Deque<RoutingEvent> mFollowing = new ArrayDeque<>();
    private final List<CompletableFuture<Boolean>> mQuietWaiters = new ArrayList<>();
    private final RoutingTableAssembler mTable = new RoutingTableAssembler();
    private Duration mDefaultTimeToAnswer =
            Duration.ofMillis(SettingName.DEFAULT_DEADLINE.defaultValue());
    private final UseCounter mUse = new UseCounter();
    private Instant mAuthorityUntil = Instant.MIN;
    private boolean mMayDecide;
    private Duration mDeadlineLimit = Duration.ofMillis(SettingName.DEADLINE_LIMIT.defaultValue());

    /** An attempt that was started and has not ended. */
    private record Running(RunningAttempt attempt, ResponseRelay relay) {}

    /**
     * Creates the duty.
     *
     * @param daemon the identity of this daemon
     * @param decider decides
     * @param ports carries out decisions
     * @param meters counts decisions
     * @param clock the clock
     * @param ownRing the ring of this duty, for results of I/O
     * @param ticker gives short ticks while there are calls
     */
    public RoutingDuty(
            MemberId daemon,
            DefaultRoutingDecider decider,
            RoutingPorts ports,
            RoutingMeters meters,
            MonotonicClock clock,
            EventSink<RoutingInput> ownRing,
            BusyTicker<RoutingInput> ticker) {
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
        } else if (input instanceof RoutingInput.SettingsInForce changed) {
            apply(changed.settings());
        } else if (input instanceof RoutingInput.AuthorityUntil authority) {
            mAuthorityUntil = authority.until();
            checkAuthority();
        } else if (input instanceof RoutingInput.UseReportDue) {
            mPorts.uses().report(mUse.take(mCalls.values(), mRunning.keySet()));
        } else if (input instanceof RoutingInput.ModelsAsked asked) {
            asked.reply().complete(mTable.models());
        } else if (input instanceof RoutingInput.IdleAwaited asked) {
            mQuietWaiters.add(asked.reply());
        } else {
            changeTable(input);
        }
        answerQuietWaiters();
        if (!mCalls.isEmpty()) {
            mTicker.request(mClock.now());
        }
    }

    private void changeTable(RoutingInput input) {
        if (input instanceof RoutingInput.VmsListed listed) {
            mTable.setVms(listed.vms());
        } else if (input instanceof RoutingInput.CatalogueListed listed) {
            mTable.setCatalogue(listed.checkpoints());
        } else if (input instanceof RoutingInput.PlanInForce changed) {
            mTable.setPlan(changed.plan());
        } else if (input instanceof RoutingInput.DaemonCountChanged counted) {
            mTable.setDaemons(counted.daemons());
        }
        decide(new RoutingEvent.TableChanged(mTable.build()));
    }

    /** Compares with the clock, so that a paused document thread cannot extend the authority. */
    private void checkAuthority() {
        boolean mayDecide = mClock.now().isBefore(mAuthorityUntil);
        if (mayDecide != mMayDecide) {
            mMayDecide = mayDecide;
            decide(new RoutingEvent.AuthorityChanged(mayDecide));
        }
    }

    private void apply(FleetSettings settings) {
        mTable.setRunnerConcurrency((int) settings.value(SettingName.RUNNER_CONCURRENCY));
        decide(new RoutingEvent.TableChanged(mTable.build()));
        mDefaultTimeToAnswer = Duration.ofMillis(settings.value(SettingName.DEFAULT_DEADLINE));
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
        Duration time = call.responseTimeout();
        if (time != null && time.compareTo(mDeadlineLimit) > 0) {
            call.stream()
                    .refuse(
                            Refusal.notRun(
                                    ErrorMessage.BAD_HEADER,
                                    "X-Deadline-Ms",
                                    Long.toString(time.toMillis()),
                                    "1 to " + mDeadlineLimit.toMillis() + " milliseconds"));
            return;
        }
        CallRequest request = call.toRequest(mDefaultTimeToAnswer);
        mCalls.put(call.id(), new AcceptedCall(call, request));
        mUse.arrived(request.target());
        decide(new RoutingEvent.CallArrived(request));
    }

    private void admit(RoutingInput.ResponseBegan began) {
        AcceptedCall call = mCalls.get(began.attempt().call());
        if (call == null || !mRunning.containsKey(began.attempt())) {
            began.relay().deny();
            return;
        }
        decide(new RoutingEvent.ResponseBegan(began.attempt()));
        if (!mRunning.containsKey(began.attempt())) {
            began.relay().deny();
            return;
        }
        call.call().stream().begin(began.status(), began.headers());
        began.relay().admit();
    }

    private void decide(RoutingEvent first) {
        mFollowing.add(first);
        while (!mFollowing.isEmpty()) {
            RoutingEvent event = mFollowing.remove();
            Instant now = mClock.now();
            if (event instanceof RoutingEvent.AttemptFinished finished) {
                mRunning.remove(finished.attempt());
            }
            for (RoutingDecision decision : mDecider.decide(event, now)) {
                carryOut(decision, now);
            }
            if (event instanceof RoutingEvent.CallerLeft left) {
                mCalls.remove(left.call());
            }
        }
    }

    private void carryOut(RoutingDecision decision, Instant now) {
        if (decision instanceof RoutingDecision.StartAttempt start) {
            start(start, now);
        } else if (decision instanceof RoutingDecision.Refuse refuse) {
            refuse(refuse);
        } else if (decision instanceof RoutingDecision.FinishCall finish) {
            finish(finish.call());
        } else if (decision instanceof RoutingDecision.CancelAttempt cancel) {
            cancel(cancel);
        } else if (decision instanceof RoutingDecision.RequestActivation wake) {
            LOGGER.log(
                    Level.INFO,
                    "[routing] Wake of {0} requested: {1} calls wait.",
                    wake.model(),
                    wake.waiting());
            mMeters.wakeRequested();
            mPorts.wakes().wake(wake.model(), wake.earliestDeadline(), wake.waiting());
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
        Instant limit = now.plus(CLAIM_LIMIT);
        return limit.isBefore(request.deadline()) ? limit : request.deadline();
    }

    private void start(RoutingDecision.StartAttempt start, Instant now) {
        AttemptId attempt = start.attempt();
        AcceptedCall call = mCalls.get(attempt.call());
        Address address = mTable.addressOf(start.endpoint());
        if (call == null || address == null) {
            mFollowing.add(
                    new RoutingEvent.AttemptFinished(
                            attempt, new AttemptOutcome.NotRun("the endpoint is gone", true)));
            return;
        }
        LOGGER.log(
                Level.INFO,
                "[routing] {0} for {1} goes to {2}: {3}.",
                attempt,
                call.request().target(),
                start.endpoint(),
                start.reason());
        mMeters.attemptStarted();
        ResponseRelay relay = new ResponseRelay(attempt, call.call().stream(), mOwnRing);
        RunningAttempt running =
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
        mRunning.put(attempt, new Running(running, relay));
    }

    private void refuse(RoutingDecision.Refuse refuse) {
        AcceptedCall call = mCalls.remove(refuse.call());
        if (call == null) {
            return;
        }
        LOGGER.log(
                Level.INFO,
                "[routing] {0} for {1} is refused: {2}, work {3}.",
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
        Running running = mRunning.remove(cancel.attempt());
        if (running == null) {
            return;
        }
        LOGGER.log(
                Level.INFO, "[routing] {0} is cancelled: {1}.", cancel.attempt(), cancel.reason());
        running.relay().deny();
        running.attempt().cancel();
    }

    private void answerQuietWaiters() {
        if (!mCalls.isEmpty() || mQuietWaiters.isEmpty()) {
            return;
        }
        mQuietWaiters.forEach(waiter -> waiter.complete(true));
        mQuietWaiters.clear();
    }
}
