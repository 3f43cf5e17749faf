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

/** Runs one decider with simulated callers and replicas on a virtual clock. */
final class OverloadSimulation {
    private static final Target.ModelTarget TARGET = new Target.ModelTarget(new ModelName("llama"));
    private static final Duration TIMER_STEP = Duration.ofMillis(100);
    private static final Duration REFUSAL_TIME = Duration.ofMillis(5);
    private static final Duration ESTIMATE_DELAY = Duration.ofMillis(5);
    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);
    private static final Duration SETTLING_TIME = Duration.ofSeconds(60);

    private record Running(OfferedCall offered, Instant startedAt) {}

    private final OverloadScenario mScenario;
    private final OverloadStrategy mStrategy;
    private final RoutingDecider mDecider;
    private final VirtualSchedule mSchedule = new VirtualSchedule();
    private final OverloadTally mTally = new OverloadTally();
    private final Random mRandom;
    private final Random mPauses;
    private final Random mRefusals;
    private final Map<CallId, OfferedCall> mOpen = new HashMap<>();
    private final Map<AttemptId, Running> mRunning = new HashMap<>();
    private long mNextCall = 1;
    private boolean mLoading;

    OverloadSimulation(OverloadScenario scenario, OverloadStrategy strategy) {
        mScenario = scenario;
        mStrategy = strategy;
        mRandom = new Random(scenario.seed());
        mPauses = new Random(~scenario.seed());
        mRefusals = new Random(-scenario.seed());
        mDecider =
                new DefaultRoutingDecider(
                        new LeastLoadedSelector(scenario.seed()),
                        strategy.policy(),
                        strategy.retryPolicy());
    }

    OverloadResult run() {
        handle(new RoutingEvent.AuthorityChanged(true));
        boolean cold = !mScenario.coldFor().isZero();
        handle(new RoutingEvent.TableChanged(table(cold ? 0 : OverloadScenario.REPLICAS)));
        mSchedule.after(TIMER_STEP, this::timer);
        mSchedule.after(gap(), this::offer);
        mSchedule.runUntil(Instant.EPOCH.plus(OverloadScenario.LENGTH).plus(SETTLING_TIME));
        return mTally.result();
    }

    private void timer() {
        handle(new RoutingEvent.TimerFired());
        mSchedule.after(TIMER_STEP, this::timer);
    }

    private void offer() {
        if (mSchedule.now().isAfter(Instant.EPOCH.plus(OverloadScenario.LENGTH))) {
            return;
        }
        mTally.offered();
        Duration firstByte = logNormal(OverloadScenario.MEAN_FIRST_BYTE);
        Duration rest = logNormal(OverloadScenario.MEAN_REST);
        send(new OfferedCall(mSchedule.now(), patience(), firstByte, rest));
        mSchedule.after(gap(), this::offer);
    }

    private void send(OfferedCall offered) {
        offered.sent();
        CallId id = new CallId(mNextCall++);
        mOpen.put(id, offered);
        handle(
                new RoutingEvent.CallArrived(
                        new CallRequest(id, TARGET, null, 0, offered.deadline(), 0)));
    }

    private void handle(RoutingEvent event) {
        for (RoutingDecision decision : mDecider.decide(event, mSchedule.now())) {
            if (decision instanceof RoutingDecision.StartAttempt start) {
                start(start.attempt());
            } else if (decision instanceof RoutingDecision.CancelAttempt cancel) {
                end(cancel.attempt(), false);
            } else if (decision instanceof RoutingDecision.Refuse refuse) {
                refused(refuse);
            } else if (decision instanceof RoutingDecision.FinishCall finish) {
                mOpen.remove(finish.call());
            } else if (decision instanceof RoutingDecision.RequestActivation && !mLoading) {
                load();
            }
        }
    }

    private void load() {
        mLoading = true;
        Instant readyAt = mSchedule.now().plus(mScenario.coldFor());
        mSchedule.after(
                ESTIMATE_DELAY, () -> handle(new RoutingEvent.ReadinessEstimated(TARGET, readyAt)));
        mSchedule.after(
                mScenario.coldFor(),
                () -> handle(new RoutingEvent.TableChanged(table(OverloadScenario.REPLICAS))));
    }

    private void start(AttemptId attempt) {
        OfferedCall offered = mOpen.get(attempt.call());
        if (offered == null) {
            return;
        }
        if (attempt.number() > 1) {
            mTally.extraAttempt();
        }
        mRunning.put(attempt, new Running(offered, mSchedule.now()));
        if (mRefusals.nextDouble() < mScenario.refusing()) {
            mSchedule.after(REFUSAL_TIME, () -> refuse(attempt));
            return;
        }
        mSchedule.after(offered.firstByte(), () -> begin(attempt));
        mSchedule.after(offered.service(), () -> complete(attempt));
    }

    private void refuse(AttemptId attempt) {
        end(attempt, false);
        handle(new RoutingEvent.AttemptFinished(attempt, new AttemptOutcome.NotRun("busy", false)));
    }

    private void begin(AttemptId attempt) {
        if (mRunning.containsKey(attempt)) {
            handle(new RoutingEvent.ResponseBegan(attempt));
        }
    }

    private void complete(AttemptId attempt) {
        Running running = mRunning.get(attempt);
        if (running == null) {
            return;
        }
        Instant began = running.startedAt().plus(running.offered().firstByte());
        end(attempt, !began.isAfter(running.offered().deadline()));
        handle(new RoutingEvent.AttemptFinished(attempt, new AttemptOutcome.Completed()));
    }

    private void end(AttemptId attempt, boolean useful) {
        Running running = mRunning.remove(attempt);
        if (running != null) {
            Duration time = Duration.between(running.startedAt(), mSchedule.now());
            mTally.attemptEnded(time, useful);
        }
    }

    private void refused(RoutingDecision.Refuse refuse) {
        OfferedCall offered = mOpen.remove(refuse.call());
        if (offered == null) {
            return;
        }
        Duration pause = callerPause(offered.sends());
        boolean again =
                refuse.reason() == RefusalReason.OVERLOADED
                        && offered.sends() < mStrategy.callerSends()
                        && mSchedule.now().plus(pause).isBefore(offered.deadline());
        if (again) {
            mTally.extraAttempt();
            mSchedule.after(pause, () -> send(offered));
        } else {
            mTally.refused(refuse.reason(), Duration.between(offered.offeredAt(), mSchedule.now()));
        }
    }

    /** Returns a pause that doubles with each sending and has a random part of one half. */
    private Duration callerPause(int sends) {
        double doubled = FIRST_PAUSE.toNanos() * Math.pow(2, sends - 1);
        return Duration.ofNanos((long) (doubled * (1 + mPauses.nextDouble()) / 2));
    }

    private Duration gap() {
        double exponential = -Math.log(1 - mRandom.nextDouble());
        return Duration.ofNanos((long) (mScenario.meanGap().toNanos() * exponential));
    }

    private Duration patience() {
        long shortest = OverloadScenario.SHORTEST_PATIENCE.toMillis();
        long longest = OverloadScenario.LONGEST_PATIENCE.toMillis();
        return Duration.ofMillis(shortest + (long) (mRandom.nextDouble() * (longest - shortest)));
    }

    private Duration logNormal(Duration mean) {
        double spread = OverloadScenario.SPREAD;
        double factor = Math.exp(spread * mRandom.nextGaussian() - spread * spread / 2);
        return Duration.ofNanos((long) (mean.toNanos() * factor));
    }

    private static RoutingTable table(int replicas) {
        List<Replica> list = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
            EndpointId endpoint = new EndpointId("runner-" + i);
            list.add(new Replica(endpoint, ReplicaState.READY, OverloadScenario.CONCURRENCY));
        }
        return new RoutingTable(Map.of(TARGET, list), Set.of(TARGET));
    }
}
