package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.query.RoutingSnapshot;

/**
 * Simulated callers, endpoints and dispatch records around one decider. Resulting events are queued
 * until the test delivers them.
 */
final class FuzzWorld {
    private static final int ENDPOINTS = 8;

    /** Each seed that is divisible by this number stands for a table without replicas. */
    private static final long EMPTY_TABLE_DIVISOR = 10;

    private static final List<Target> TARGETS =
            List.of(
                    new Target.ModelTarget(new ModelName("llama")),
                    new Target.ModelTarget(new ModelName("adapter")),
                    new Target.ServiceTarget(new ServiceName("pay-service")));

    private final FuzzOracle mOracle = new FuzzOracle();
    private final DefaultRoutingDecider mDecider;
    private final List<RoutingEvent> mPending = new ArrayList<>();
    private final List<RoutingDecision.RecordDispatch> mClaims = new ArrayList<>();
    private Instant mNow = Instant.EPOCH;
    private long mNextCall = 1;

    FuzzWorld(EndpointSelector selector, OverloadPolicy policy) {
        mDecider = new DefaultRoutingDecider(selector, policy, new SafeRetryPolicy());
        authority(true);
        table(1);
    }

    void arrive(int target, int key, int deadlineMillis, int priority) {
        Target requested = TARGETS.get(target % TARGETS.size());
        boolean atMostOnce = requested instanceof Target.ServiceTarget;
        CallRequest request =
                new CallRequest(
                        new CallId(mNextCall++),
                        requested,
                        atMostOnce ? new IdempotencyKey("key-" + key) : null,
                        priority,
                        mNow.plusMillis(deadlineMillis),
                        key);
        mOracle.mCalls.put(request.id(), new FuzzOracle.Call(request));
        deliver(new RoutingEvent.CallArrived(request));
    }

    /** Claims a dispatch record; the result is delivered to the decider later. */
    void completeClaim(int index, boolean unavailable) {
        if (mClaims.isEmpty()) {
            return;
        }
        RoutingDecision.RecordDispatch claim = mClaims.remove(index % mClaims.size());
        ClaimResult result = new ClaimResult.Claimed();
        if (mOracle.mRecordOwners.containsKey(claim.key())) {
            result = new ClaimResult.AlreadyClaimed(mOracle.mRecords.get(claim.key()));
        } else {
            mOracle.mRecordOwners.put(claim.key(), claim.call());
            mOracle.mRecords.put(claim.key(), RecordState.DISPATCHED);
        }
        mPending.add(
                new RoutingEvent.DispatchRecorded(
                        claim.call(),
                        unavailable ? new ClaimResult.Unavailable("lost reply") : result));
    }

    /** Lets an endpoint act on one of its unfinished attempts, including cancelled ones. */
    void endpointAction(int index, int action) {
        List<FuzzOracle.Attempt> live = mOracle.mAttempts.stream().filter(a -> !a.mEnded).toList();
        if (live.isEmpty()) {
            return;
        }
        FuzzOracle.Attempt attempt = live.get(index % live.size());
        switch (action) {
            case 0, 1 -> refuse(attempt, action == 1);
            case 2 -> begin(attempt);
            case 3 -> fail(attempt, false);
            case 4 -> fail(attempt, true);
            default -> complete(attempt);
        }
    }

    private void refuse(FuzzOracle.Attempt attempt, boolean draining) {
        if (!attempt.mRan) {
            end(attempt, new AttemptOutcome.NotRun("busy", draining));
        }
    }

    private void begin(FuzzOracle.Attempt attempt) {
        attempt.run();
        attempt.mBegan = true;
        mPending.add(new RoutingEvent.ResponseBegan(attempt.mId));
    }

    private void fail(FuzzOracle.Attempt attempt, boolean afterWork) {
        if (afterWork) {
            attempt.run();
        }
        end(attempt, new AttemptOutcome.Failed("broken connection", attempt.mBegan));
    }

    private void complete(FuzzOracle.Attempt attempt) {
        attempt.run();
        attempt.mBegan = true;
        end(attempt, new AttemptOutcome.Completed());
    }

    private void end(FuzzOracle.Attempt attempt, AttemptOutcome outcome) {
        attempt.mEnded = true;
        mPending.add(new RoutingEvent.AttemptFinished(attempt.mId, outcome));
    }

    /**
     * Delivers one of the queued events, chosen by index, so that events arrive late and out of
     * order.
     */
    void deliverPending(int index, boolean duplicate) {
        if (mPending.isEmpty()) {
            return;
        }
        int chosen = index % mPending.size();
        deliver(duplicate ? mPending.get(chosen) : mPending.remove(chosen));
    }

    void timer(int millis) {
        mNow = mNow.plusMillis(millis);
        deliver(new RoutingEvent.TimerFired());
    }

    void advanceSeconds(int seconds) {
        mNow = mNow.plusSeconds(seconds);
    }

    /** Disconnects the caller of an earlier call; 0 stands for the latest call. */
    void disconnectCaller(int callsBack) {
        CallId id = new CallId(Math.max(1, mNextCall - 1 - callsBack));
        deliver(new RoutingEvent.CallerDisconnected(id));
    }

    void limits(int queue, int attempts, int budget) {
        mOracle.mLimits = new RoutingLimits(queue, attempts, budget, Duration.ofMillis(300));
        deliver(new RoutingEvent.LimitsChanged(mOracle.mLimits));
    }

    void authority(boolean mayDecide) {
        mOracle.mMayDecide = mayDecide;
        deliver(new RoutingEvent.AuthorityChanged(mayDecide));
    }

    /** Lets an endpoint drain; this daemon hears it from one of several sources. */
    void draining(int endpoint, int source) {
        EndpointId id = endpoint(endpoint);
        EndpointStatement leaving = EndpointStatement.LEAVING;
        mOracle.mDraining.add(id);
        switch (source % 3) {
            case 0 -> deliver(new RoutingEvent.EndpointDraining(id));
            case 1 -> deliver(new RoutingEvent.EndpointStated(id, leaving));
            default -> {
                mOracle.loadObserved(id, 0, mNow);
                deliver(
                        new RoutingEvent.EndpointLoadsReported(
                                List.of(new EndpointLoad(id, 0, 1, leaving))));
            }
        }
    }

    void estimateAndLoad(int target, int millis) {
        Target requested = TARGETS.get(target % TARGETS.size());
        deliver(new RoutingEvent.ReadinessEstimated(requested, mNow.plusMillis(millis)));
        mOracle.loadObserved(endpoint(target), millis % 5, mNow);
        deliver(new RoutingEvent.EndpointLoadObserved(endpoint(target), millis % 5, mNow));
    }

    /** Replaces the routing table by one generated from the seed. */
    void table(long seed) {
        Random random = new Random(seed);
        Map<Target, List<Replica>> replicas = new HashMap<>();
        Set<Target> knownTargets = new HashSet<>(TARGETS);
        for (Target target : TARGETS) {
            List<Replica> list = new ArrayList<>();
            for (int i = 0; i < ENDPOINTS; i++) {
                if (random.nextInt(3) == 0 && seed % EMPTY_TABLE_DIVISOR != 0) {
                    boolean ready = random.nextInt(5) > 0;
                    ReplicaState state = ready ? ReplicaState.READY : ReplicaState.DRAINING;
                    list.add(new Replica(endpoint(i), state, 1 + random.nextInt(3)));
                }
            }
            replicas.put(target, list);
            if (random.nextInt(8) == 0) {
                knownTargets.remove(target);
            }
        }
        change(new RoutingTable(replicas, knownTargets));
    }

    private void change(RoutingTable table) {
        mOracle.mTable = table;
        clearActivations();
        deliver(new RoutingEvent.TableChanged(table));
    }

    /**
     * Permits an immediate activation request for models that became ready or unknown and have no
     * replica later.
     */
    private void clearActivations() {
        mOracle.mLastActivation
                .keySet()
                .removeIf(model -> isReadyOrUnknown(new Target.ModelTarget(model)));
    }

    private boolean isReadyOrUnknown(Target target) {
        return mOracle.hasServing(target) || !mOracle.mTable.knownTargets().contains(target);
    }

    private void deliver(RoutingEvent event) {
        updateOracle(event);
        for (RoutingDecision decision : mDecider.decide(event, mNow)) {
            mOracle.check(decision, mNow);
            if (decision instanceof RoutingDecision.RecordDispatch claim) {
                mClaims.add(claim);
            }
        }
        if (event instanceof RoutingEvent.CallerDisconnected disconnected) {
            FuzzOracle.Call call = mOracle.mCalls.get(disconnected.call());
            if (call != null) {
                call.mOpen = false;
            }
        }
        if (event instanceof RoutingEvent.TimerFired) {
            mOracle.checkAfterTimer(mNow);
        }
    }

    private void updateOracle(RoutingEvent event) {
        if (event instanceof RoutingEvent.DispatchRecorded recorded) {
            FuzzOracle.Call call = mOracle.mCalls.get(recorded.call());
            call.mClaimDelivered |= call.mOpen && recorded.result() instanceof ClaimResult.Claimed;
        }
        for (FuzzOracle.Attempt attempt : mOracle.mAttempts) {
            if (!attempt.mOpenForRouting) {
                continue;
            }
            if (event instanceof RoutingEvent.ResponseBegan began
                    && began.attempt().equals(attempt.mId)) {
                attempt.mCall.mBytesPassedOn = true;
            }
            if (event instanceof RoutingEvent.AttemptFinished finished
                    && finished.attempt().equals(attempt.mId)) {
                attemptEnded(attempt, finished.outcome());
            }
        }
    }

    private void attemptEnded(FuzzOracle.Attempt attempt, AttemptOutcome outcome) {
        attempt.mOpenForRouting = false;
        attempt.mCall.mBytesPassedOn |= attempt.mBegan;
        if (outcome instanceof AttemptOutcome.Completed) {
            return;
        }
        mOracle.mLastFailure.put(attempt.mEndpoint, mNow);
        if (outcome instanceof AttemptOutcome.NotRun notRun) {
            attempt.mProvedNotRun = true;
            if (notRun.endpointDraining()) {
                mOracle.mDraining.add(attempt.mEndpoint);
            }
        }
    }

    /** Ends all work, then checks that every call has ended and that no state is left. */
    void finish() {
        for (FuzzOracle.Attempt attempt : mOracle.mAttempts) {
            if (!attempt.mEnded) {
                complete(attempt);
            }
        }
        while (!mPending.isEmpty()) {
            deliverPending(0, false);
        }
        advanceSeconds(3600);
        timer(1);
        for (FuzzOracle.Attempt attempt : mOracle.mAttempts) {
            FuzzOracle.check(!attempt.mOpenForRouting, "attempt without an end: " + attempt.mId);
        }
        for (FuzzOracle.Call call : mOracle.mCalls.values()) {
            FuzzOracle.check(!call.mOpen, "call without an end: " + call.mRequest.id());
        }
        change(RoutingTable.EMPTY);
        advanceSeconds(3600);
        timer(1);
        RoutingSnapshot snapshot = mDecider.snapshot(mNow);
        boolean empty =
                snapshot.openCalls() == 0
                        && snapshot.trackedTargets() == 0
                        && snapshot.trackedEndpoints() == 0;
        FuzzOracle.check(empty, "state is left: " + snapshot);
    }

    private static EndpointId endpoint(int index) {
        return new EndpointId("e" + index % ENDPOINTS);
    }
}
