package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.WorkState;

/** Serves calls through ready replicas and wakes models that have none. */
public final class DefaultRoutingDecider implements RoutingDecider {
    private final EndpointSelector mSelector;
    private final OverloadPolicy mOverloadPolicy;
    private final RetryPolicy mRetryPolicy;
    private final Map<CallId, Call> mCalls = new LinkedHashMap<>();
    private final Map<EndpointId, Integer> mRunning = new HashMap<>();
    private final Set<EndpointId> mDraining = new HashSet<>();
    private final Map<Target, Instant> mLastWake = new HashMap<>();
    private RoutingTable mTable = RoutingTable.EMPTY;
    private RoutingLimits mLimits = RoutingLimits.DEFAULT;
    private boolean mMayDecide;
    private boolean mDrainStarted;

    /**
     * Creates a decider that refuses all calls until {@link RoutingEvent.AuthorityChanged} allows
     * them.
     *
     * @param selector chooses the replica of a call
     * @param overloadPolicy decides on calls that no replica can take now
     * @param retryPolicy decides which calls may have another attempt
     */
    public DefaultRoutingDecider(
            EndpointSelector selector, OverloadPolicy overloadPolicy, RetryPolicy retryPolicy) {
        mSelector = selector;
        mOverloadPolicy = overloadPolicy;
        mRetryPolicy = retryPolicy;
    }

    @Override
    public List<RoutingDecision> decide(RoutingEvent event, Instant now) {
        List<RoutingDecision> out = new ArrayList<>();
        handle(event, now, out);
        for (Call call : new ArrayList<>(mCalls.values())) {
            expire(call, now, out);
        }
        for (Call call : new ArrayList<>(mCalls.values())) {
            if (call.mWaiting) {
                startOrWake(call, now, out);
            }
        }
        return out;
    }

    private void handle(RoutingEvent event, Instant now, List<RoutingDecision> out) {
        if (event instanceof RoutingEvent.CallArrived arrived) {
            arrive(arrived.request(), now, out);
        } else if (event instanceof RoutingEvent.DispatchRecorded recorded) {
            settle(recorded, out);
        } else if (event instanceof RoutingEvent.ResponseBegan began) {
            Call call = current(began.attempt());
            if (call != null) {
                call.mBegan = true;
            }
        } else if (event instanceof RoutingEvent.AttemptFinished finished) {
            finish(finished, out);
        } else if (event instanceof RoutingEvent.CallerLeft left) {
            leave(left.call(), out);
        } else if (event instanceof RoutingEvent.TableChanged changed) {
            mTable = changed.table();
        } else if (event instanceof RoutingEvent.EndpointDraining draining) {
            mDraining.add(draining.endpoint());
        } else if (event instanceof RoutingEvent.LimitsChanged changed) {
            mLimits = changed.limits();
        } else if (event instanceof RoutingEvent.AuthorityChanged changed) {
            changeAuthority(changed.mayDecide(), out);
        } else if (event instanceof RoutingEvent.DrainStarted) {
            mDrainStarted = true;
        }
    }

    private void arrive(CallRequest request, Instant now, List<RoutingDecision> out) {
        RefusalReason reason = refusalAtArrival(request, now);
        if (reason != null) {
            out.add(new RoutingDecision.Refuse(request.id(), reason, WorkState.NOT_RUN));
            return;
        }
        Call call = new Call(request);
        mCalls.put(request.id(), call);
        IdempotencyKey key = request.onceKey();
        if (key == null) {
            call.mWaiting = true;
        } else {
            out.add(new RoutingDecision.RecordDispatch(request.id(), key));
        }
    }

    private @Nullable RefusalReason refusalAtArrival(CallRequest request, Instant now) {
        if (!mMayDecide) {
            return RefusalReason.NO_AUTHORITY;
        }
        if (mDrainStarted) {
            return RefusalReason.DRAINING;
        }
        if (!mTable.known().contains(request.target())) {
            return RefusalReason.UNKNOWN_TARGET;
        }
        int waiting = waitingFor(request.target());
        boolean ready = hasReadyReplica(request.target());
        OverloadAction action =
                mOverloadPolicy.decide(
                        request,
                        new OverloadSituation(
                                now, waiting, mLimits.queueLimit(), ready, Duration.ZERO));
        return action instanceof OverloadAction.RefuseNow refuse ? refuse.reason() : null;
    }

    private void settle(RoutingEvent.DispatchRecorded recorded, List<RoutingDecision> out) {
        Call call = mCalls.get(recorded.call());
        if (call == null || call.mClaimed || call.mRequest.isIdempotent()) {
            return;
        }
        if (recorded.result() instanceof ClaimResult.AlreadyClaimed claimed) {
            mCalls.remove(recorded.call());
            WorkState state = workState(claimed.state());
            out.add(
                    new RoutingDecision.Refuse(
                            recorded.call(), RefusalReason.DUPLICATE_KEY, state));
        } else if (recorded.result() instanceof ClaimResult.Unavailable) {
            refuse(call, RefusalReason.RECORD_UNAVAILABLE, out);
        } else {
            call.mClaimed = true;
            call.mWaiting = true;
        }
    }

    private void finish(RoutingEvent.AttemptFinished finished, List<RoutingDecision> out) {
        Call call = current(finished.attempt());
        if (call == null) {
            return;
        }
        EndpointId endpoint = release(call);
        AttemptOutcome outcome = finished.outcome();
        if (outcome instanceof AttemptOutcome.Completed) {
            mCalls.remove(call.mRequest.id());
            recordOutcome(call, RecordState.RAN, out);
            out.add(new RoutingDecision.FinishCall(call.mRequest.id()));
            return;
        }
        if (outcome instanceof AttemptOutcome.NotRun notRun && notRun.endpointDraining()) {
            mDraining.add(endpoint);
        }
        if (outcome instanceof AttemptOutcome.Failed failed) {
            call.mMayHaveRun = true;
            call.mBegan |= failed.answerBegan();
        }
        boolean retry =
                call.mAttempts < mLimits.attemptLimit()
                        && mMayDecide
                        && mRetryPolicy.mayRetry(call.mRequest, outcome, call.mBegan);
        if (retry) {
            call.mWaiting = true;
        } else {
            refuse(call, RefusalReason.ATTEMPTS_EXHAUSTED, out);
        }
    }

    private void leave(CallId id, List<RoutingDecision> out) {
        Call call = mCalls.remove(id);
        if (call != null) {
            cancelRunning(call, "caller left", out);
            recordNotRun(call, out);
        }
    }

    private void changeAuthority(boolean mayDecide, List<RoutingDecision> out) {
        mMayDecide = mayDecide;
        for (Call call : new ArrayList<>(mCalls.values())) {
            if (!mayDecide && call.mEndpoint == null) {
                refuse(call, RefusalReason.NO_AUTHORITY, out);
            }
        }
    }

    private void expire(Call call, Instant now, List<RoutingDecision> out) {
        if (call.mBegan || call.mRequest.deadline().isAfter(now)) {
            return;
        }
        cancelRunning(call, "deadline passed", out);
        refuse(call, RefusalReason.DEADLINE_PASSED, out);
    }

    private void startOrWake(Call call, Instant now, List<RoutingDecision> out) {
        Target target = call.mRequest.target();
        List<Replica> replicas = mTable.replicasOf(target);
        Optional<EndpointChoice> choice =
                mSelector.select(call.mRequest, new TableCandidates(replicas));
        if (choice.isPresent()) {
            Replica replica = replicas.get(choice.get().index());
            call.start(replica.endpoint());
            mRunning.merge(replica.endpoint(), 1, Integer::sum);
            out.add(
                    new RoutingDecision.StartAttempt(
                            new AttemptId(call.mRequest.id(), call.mAttempts),
                            replica.endpoint(),
                            call.mRequest.deadline(),
                            choice.get().reason()));
        } else if (target instanceof Target.ModelTarget model && !hasReadyReplica(target)) {
            wake(model, call.mRequest.deadline(), now, out);
        }
    }

    private void wake(
            Target.ModelTarget target, Instant deadline, Instant now, List<RoutingDecision> out) {
        Instant last = mLastWake.get(target);
        if (last != null && now.isBefore(last.plus(mLimits.wakeRepeat()))) {
            return;
        }
        mLastWake.put(target, now);
        out.add(new RoutingDecision.RequestWake(target.model(), deadline, waitingFor(target)));
    }

    private @Nullable Call current(AttemptId attempt) {
        Call call = mCalls.get(attempt.call());
        boolean current =
                call != null && call.mEndpoint != null && call.mAttempts == attempt.number();
        return current ? call : null;
    }

    private @Nullable EndpointId release(Call call) {
        EndpointId endpoint = call.mEndpoint;
        if (endpoint != null) {
            mRunning.computeIfPresent(endpoint, (id, count) -> count > 1 ? count - 1 : null);
        }
        call.mEndpoint = null;
        return endpoint;
    }

    private void cancelRunning(Call call, String reason, List<RoutingDecision> out) {
        if (release(call) != null) {
            call.mMayHaveRun = true;
            AttemptId attempt = new AttemptId(call.mRequest.id(), call.mAttempts);
            out.add(new RoutingDecision.CancelAttempt(attempt, reason));
        }
    }

    private void refuse(Call call, RefusalReason reason, List<RoutingDecision> out) {
        mCalls.remove(call.mRequest.id());
        recordNotRun(call, out);
        WorkState state = call.mMayHaveRun ? WorkState.UNKNOWN : WorkState.NOT_RUN;
        out.add(new RoutingDecision.Refuse(call.mRequest.id(), reason, state));
    }

    private void recordNotRun(Call call, List<RoutingDecision> out) {
        if (!call.mMayHaveRun) {
            recordOutcome(call, RecordState.NOT_RUN, out);
        }
    }

    private void recordOutcome(Call call, RecordState state, List<RoutingDecision> out) {
        IdempotencyKey key = call.mRequest.onceKey();
        if (call.mClaimed && key != null) {
            out.add(new RoutingDecision.RecordOutcome(key, state));
        }
    }

    private int waitingFor(Target target) {
        int waiting = 0;
        for (Call call : mCalls.values()) {
            if (call.mEndpoint == null && call.mRequest.target().equals(target)) {
                waiting++;
            }
        }
        return waiting;
    }

    private boolean hasReadyReplica(Target target) {
        for (Replica replica : mTable.replicasOf(target)) {
            if (mayServe(replica)) {
                return true;
            }
        }
        return false;
    }

    private boolean mayServe(Replica replica) {
        return replica.state() == ReplicaState.READY && !mDraining.contains(replica.endpoint());
    }

    private static WorkState workState(RecordState state) {
        return switch (state) {
            case DISPATCHED -> WorkState.UNKNOWN;
            case RAN -> WorkState.RAN;
            case NOT_RUN -> WorkState.NOT_RUN;
        };
    }

    private static final class Call {
        private final CallRequest mRequest;
        private @Nullable EndpointId mEndpoint;
        private int mAttempts;
        private boolean mWaiting;
        private boolean mClaimed;
        private boolean mBegan;
        private boolean mMayHaveRun;

        private Call(CallRequest request) {
            mRequest = request;
        }

        private void start(EndpointId endpoint) {
            mEndpoint = endpoint;
            mAttempts++;
            mWaiting = false;
        }
    }

    private final class TableCandidates implements ReplicaCandidates {
        private final List<Replica> mReplicas;

        private TableCandidates(List<Replica> replicas) {
            mReplicas = replicas;
        }

        @Override
        public int size() {
            return mReplicas.size();
        }

        @Override
        public EndpointId endpoint(int index) {
            return mReplicas.get(index).endpoint();
        }

        @Override
        public boolean isAvailable(int index) {
            Replica replica = mReplicas.get(index);
            return mayServe(replica) && load(index) < replica.concurrency();
        }

        @Override
        public int load(int index) {
            return mRunning.getOrDefault(mReplicas.get(index).endpoint(), 0);
        }
    }
}
