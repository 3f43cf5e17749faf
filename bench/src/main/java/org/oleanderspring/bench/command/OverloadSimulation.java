package org.oleanderspring.bench.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.oleanderspring.bench.query.OverloadResult;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.command.DefaultRoutingDecider;
import org.oleanderspring.core.routing.command.LeastLoadedSelector;
import org.oleanderspring.core.routing.command.RoutingDecider;
import org.oleanderspring.core.routing.command.RoutingDecision;
import org.oleanderspring.core.routing.command.RoutingEvent;

/** Runs one routing decider with simulated callers and replicas on a virtual clock. */
final class OverloadSimulation {
    private static final Target.ModelTarget TARGET = new Target.ModelTarget(new ModelName("llama"));
    private static final Duration TIMER_INTERVAL = Duration.ofMillis(100);

    /** The time from the start of an attempt until a replica refuses it. */
    private static final Duration REFUSAL_DELAY = Duration.ofMillis(5);

    /** The time from the request of an activation until its estimate arrives. */
    private static final Duration ESTIMATE_DELAY = Duration.ofMillis(5);

    private static final Duration INITIAL_CALLER_BACKOFF = Duration.ofMillis(100);

    /** How long the simulation runs after the last offered call, so that waiting calls end. */
    private static final Duration DRAIN_TIME = Duration.ofSeconds(60);

    private record RunningAttempt(OfferedCall offered, Instant startedAt) {}

    private final OverloadScenario mScenario;
    private final OverloadStrategy mStrategy;
    private final RoutingDecider mDecider;
    private final VirtualScheduler mScheduler = new VirtualScheduler();
    private final OverloadTally mTally = new OverloadTally();

    /**
     * Draws arrivals, deadlines and service times. Back-offs and refusals have generators of their
     * own, so that all strategies are offered the same calls.
     */
    private final Random mCallRandom;

    private final Random mBackoffRandom;
    private final Random mRefusalRandom;
    private final Map<CallId, OfferedCall> mOpenCalls = new HashMap<>();
    private final Map<AttemptId, RunningAttempt> mRunning = new HashMap<>();
    private long mNextCall = 1;

    /** Whether the load of the model has been requested; it is requested only once. */
    private boolean mIsLoadRequested;

    OverloadSimulation(OverloadScenario scenario, OverloadStrategy strategy) {
        mScenario = scenario;
        mStrategy = strategy;
        mCallRandom = new Random(scenario.seed());
        mBackoffRandom = new Random(~scenario.seed());
        mRefusalRandom = new Random(-scenario.seed());
        mDecider =
                new DefaultRoutingDecider(
                        new LeastLoadedSelector(scenario.seed()),
                        strategy.overloadPolicy(),
                        strategy.retryPolicy());
    }

    OverloadResult run() {
        handle(new RoutingEvent.AuthorityChanged(true));
        boolean isCold = !mScenario.loadTime().isZero();
        handle(new RoutingEvent.TableChanged(table(isCold ? 0 : OverloadScenario.REPLICAS)));
        mScheduler.schedule(TIMER_INTERVAL, this::fireTimer);
        mScheduler.schedule(nextInterarrivalTime(), this::offerCall);
        mScheduler.runUntil(Instant.EPOCH.plus(OverloadScenario.OFFER_TIME).plus(DRAIN_TIME));
        return mTally.result();
    }

    private void fireTimer() {
        handle(new RoutingEvent.TimerFired());
        mScheduler.schedule(TIMER_INTERVAL, this::fireTimer);
    }

    private void offerCall() {
        if (mScheduler.now().isAfter(Instant.EPOCH.plus(OverloadScenario.OFFER_TIME))) {
            return;
        }
        mTally.recordOffered();
        Duration timeToFirstByte = logNormal(OverloadScenario.MEAN_TIME_TO_FIRST_BYTE);
        Duration timeAfterFirstByte = logNormal(OverloadScenario.MEAN_TIME_AFTER_FIRST_BYTE);
        send(
                new OfferedCall(
                        mScheduler.now(),
                        nextCallerTimeout(),
                        timeToFirstByte,
                        timeAfterFirstByte));
        mScheduler.schedule(nextInterarrivalTime(), this::offerCall);
    }

    private void send(OfferedCall offered) {
        offered.recordSend();
        CallId id = new CallId(mNextCall++);
        mOpenCalls.put(id, offered);
        handle(
                new RoutingEvent.CallArrived(
                        new CallRequest(id, TARGET, null, 0, offered.deadline(), 0)));
    }

    private void handle(RoutingEvent event) {
        for (RoutingDecision decision : mDecider.decide(event, mScheduler.now())) {
            if (decision instanceof RoutingDecision.StartAttempt start) {
                startAttempt(start.attempt());
            } else if (decision instanceof RoutingDecision.CancelAttempt cancel) {
                endAttempt(cancel.attempt(), false);
            } else if (decision instanceof RoutingDecision.Refuse refuse) {
                handleRefusal(refuse);
            } else if (decision instanceof RoutingDecision.FinishCall finish) {
                mOpenCalls.remove(finish.call());
            } else if (decision instanceof RoutingDecision.RequestActivation && !mIsLoadRequested) {
                startLoad();
            }
        }
    }

    private void startLoad() {
        mIsLoadRequested = true;
        Instant readyAt = mScheduler.now().plus(mScenario.loadTime());
        mScheduler.schedule(
                ESTIMATE_DELAY, () -> handle(new RoutingEvent.ReadinessEstimated(TARGET, readyAt)));
        mScheduler.schedule(
                mScenario.loadTime(),
                () -> handle(new RoutingEvent.TableChanged(table(OverloadScenario.REPLICAS))));
    }

    private void startAttempt(AttemptId attempt) {
        OfferedCall offered = mOpenCalls.get(attempt.call());
        if (offered == null) {
            return;
        }
        if (attempt.number() > 1) {
            mTally.recordExtraAttempt();
        }
        mRunning.put(attempt, new RunningAttempt(offered, mScheduler.now()));
        if (mRefusalRandom.nextDouble() < mScenario.refusedShare()) {
            mScheduler.schedule(REFUSAL_DELAY, () -> refuseAttempt(attempt));
            return;
        }
        mScheduler.schedule(offered.timeToFirstByte(), () -> beginResponse(attempt));
        mScheduler.schedule(offered.serviceTime(), () -> completeAttempt(attempt));
    }

    private void refuseAttempt(AttemptId attempt) {
        endAttempt(attempt, false);
        handle(new RoutingEvent.AttemptFinished(attempt, new AttemptOutcome.NotRun("busy", false)));
    }

    private void beginResponse(AttemptId attempt) {
        if (mRunning.containsKey(attempt)) {
            handle(new RoutingEvent.ResponseBegan(attempt));
        }
    }

    private void completeAttempt(AttemptId attempt) {
        RunningAttempt running = mRunning.get(attempt);
        if (running == null) {
            return;
        }
        Instant beganAt = running.startedAt().plus(running.offered().timeToFirstByte());
        endAttempt(attempt, !beganAt.isAfter(running.offered().deadline()));
        handle(new RoutingEvent.AttemptFinished(attempt, new AttemptOutcome.Completed()));
    }

    private void endAttempt(AttemptId attempt, boolean isUseful) {
        RunningAttempt running = mRunning.remove(attempt);
        if (running != null) {
            Duration time = Duration.between(running.startedAt(), mScheduler.now());
            mTally.recordAttempt(time, isUseful);
        }
    }

    /**
     * Schedules another sending of a refused call if the refusal was due to overload, the caller
     * may send again and the back-off ends before the deadline; otherwise records the final
     * refusal.
     */
    private void handleRefusal(RoutingDecision.Refuse refuse) {
        OfferedCall offered = mOpenCalls.remove(refuse.call());
        if (offered == null) {
            return;
        }
        Duration backoff = callerBackoff(offered.sendCount());
        boolean isSentAgain =
                refuse.reason() == RefusalReason.OVERLOADED
                        && offered.sendCount() < mStrategy.maxCallerSends()
                        && mScheduler.now().plus(backoff).isBefore(offered.deadline());
        if (isSentAgain) {
            mTally.recordExtraAttempt();
            mScheduler.schedule(backoff, () -> send(offered));
        } else {
            mTally.recordRefused(
                    refuse.reason(), Duration.between(offered.offeredAt(), mScheduler.now()));
        }
    }

    /** Returns a back-off that doubles with each sending; up to half of it is random. */
    private Duration callerBackoff(int sendCount) {
        double nanos = INITIAL_CALLER_BACKOFF.toNanos() * Math.pow(2, sendCount - 1);
        return Duration.ofNanos((long) (nanos * (1 + mBackoffRandom.nextDouble()) / 2));
    }

    private Duration nextInterarrivalTime() {
        double exponential = -Math.log(1 - mCallRandom.nextDouble());
        return Duration.ofNanos((long) (mScenario.meanInterarrivalTime().toNanos() * exponential));
    }

    private Duration nextCallerTimeout() {
        long shortest = OverloadScenario.MIN_CALLER_TIMEOUT.toMillis();
        long longest = OverloadScenario.MAX_CALLER_TIMEOUT.toMillis();
        return Duration.ofMillis(
                shortest + (long) (mCallRandom.nextDouble() * (longest - shortest)));
    }

    /** Returns a random, log-normally distributed time with the given mean. */
    private Duration logNormal(Duration mean) {
        double deviation = OverloadScenario.LOG_STANDARD_DEVIATION;
        double factor =
                Math.exp(deviation * mCallRandom.nextGaussian() - deviation * deviation / 2);
        return Duration.ofNanos((long) (mean.toNanos() * factor));
    }

    private static RoutingTable table(int replicaCount) {
        List<Replica> replicas = new ArrayList<>();
        for (int i = 0; i < replicaCount; i++) {
            EndpointId endpoint = new EndpointId("runner-" + i);
            replicas.add(new Replica(endpoint, ReplicaState.READY, OverloadScenario.CONCURRENCY));
        }
        return new RoutingTable(Map.of(TARGET, replicas), Set.of(TARGET));
    }
}
