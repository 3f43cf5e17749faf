package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.WorkState;

/**
 * Records what the endpoints did and which events routing received, and checks each decision
 * against it. Shares no logic with the decider: it searches plain lists.
 */
final class FuzzOracle {
    /** One call as seen by its caller and the endpoints. */
    static final class Call {
        final CallRequest mRequest;
        boolean mOpen = true;

        /** Whether routing learned of a successful claim while the call was open. */
        boolean mClaimDelivered;

        /** Whether routing learned that a byte of a response was passed on. */
        boolean mBytesPassedOn;

        int mTimesRun;

        Call(CallRequest request) {
            mRequest = request;
        }
    }

    /** One attempt as seen by its endpoint. */
    static final class Attempt {
        final AttemptId mId;
        final Call mCall;
        final EndpointId mEndpoint;
        boolean mRan;
        boolean mBegan;
        boolean mEnded;

        /** Whether routing has neither cancelled the attempt nor learned of its end. */
        boolean mOpenForRouting = true;

        /** Whether routing learned that the work of the attempt did not run. */
        boolean mProvedNotRun;

        Attempt(AttemptId id, Call call, EndpointId endpoint) {
            mId = id;
            mCall = call;
            mEndpoint = endpoint;
        }

        /** Runs the work of the attempt. */
        void run() {
            if (!mRan) {
                mRan = true;
                mCall.mTimesRun++;
                check(
                        mCall.mRequest.isIdempotent() || mCall.mTimesRun == 1,
                        "non-idempotent call ran twice: " + mId);
            }
        }
    }

    final Map<CallId, Call> mCalls = new HashMap<>();
    final List<Attempt> mAttempts = new ArrayList<>();
    final Map<IdempotencyKey, CallId> mRecordOwners = new HashMap<>();
    final Map<IdempotencyKey, RecordState> mRecords = new HashMap<>();
    final Map<ModelName, Instant> mLastActivation = new HashMap<>();

    /** When an attempt on an endpoint last was cancelled or ended without completing. */
    final Map<EndpointId, Instant> mLastFailure = new HashMap<>();

    private final Map<EndpointId, OtherCalls> mOtherCalls = new HashMap<>();

    final Set<EndpointId> mDraining = new HashSet<>();
    RoutingTable mTable = RoutingTable.EMPTY;
    RoutingLimits mLimits = RoutingLimits.DEFAULT;
    boolean mMayDecide;

    void check(RoutingDecision decision, Instant now) {
        if (decision instanceof RoutingDecision.StartAttempt start) {
            started(start, now);
        } else if (decision instanceof RoutingDecision.CancelAttempt cancel) {
            cancelled(cancel, now);
        } else if (decision instanceof RoutingDecision.Refuse refuse) {
            refused(refuse);
        } else if (decision instanceof RoutingDecision.FinishCall finish) {
            finished(finish);
        } else if (decision instanceof RoutingDecision.RecordOutcome outcome) {
            recorded(outcome);
        } else if (decision instanceof RoutingDecision.RequestActivation activation) {
            activationRequested(activation, now);
        }
    }

    private void started(RoutingDecision.StartAttempt start, Instant now) {
        Call call = openCall(start.attempt().call(), start);
        CallRequest request = call.mRequest;
        check(mMayDecide, "attempt without authority: " + start);
        check(request.deadline().isAfter(now), "attempt after the deadline: " + start);
        check(
                request.deadline().equals(start.deadline()),
                "attempt with another deadline than its call: " + start);
        check(request.isIdempotent() || call.mClaimDelivered, "attempt without a claim: " + start);
        check(!call.mBytesPassedOn, "attempt after bytes were passed on: " + start);
        int earlier = 0;
        for (Attempt attempt : mAttempts) {
            if (attempt.mCall == call) {
                earlier++;
                check(!attempt.mOpenForRouting, "two attempts at once: " + start);
                check(
                        request.isIdempotent() || attempt.mProvedNotRun,
                        "retry of work that may have run: " + start);
            }
        }
        check(start.attempt().number() == earlier + 1, "wrong attempt number: " + start);
        check(
                earlier == 0 || earlier < mLimits.attemptLimit(),
                "more attempts than allowed: " + start);
        checkReplica(request.target(), start);
        mAttempts.add(new Attempt(start.attempt(), call, start.endpoint()));
    }

    private void checkReplica(Target target, RoutingDecision.StartAttempt start) {
        Replica replica = null;
        for (Replica listed : mTable.replicasOf(target)) {
            if (listed.endpoint().equals(start.endpoint())) {
                replica = listed;
            }
        }
        check(replica != null, "endpoint is not in the table: " + start);
        check(mayServe(replica), "attempt on a draining endpoint: " + start);
        check(
                running(target, start.endpoint()) < replica.concurrency(),
                "over the concurrency limit: " + start);
    }

    private void cancelled(RoutingDecision.CancelAttempt cancel, Instant now) {
        for (Attempt attempt : mAttempts) {
            if (attempt.mId.equals(cancel.attempt())) {
                check(attempt.mOpenForRouting, "cancelled twice: " + cancel);
                attempt.mOpenForRouting = false;
                mLastFailure.put(attempt.mEndpoint, now);
            }
        }
    }

    private void refused(RoutingDecision.Refuse refuse) {
        Call call = end(refuse.call(), refuse);
        IdempotencyKey key = call.mRequest.idempotencyKey();
        if (refuse.workState() == WorkState.RAN) {
            check(
                    mRecords.get(key) == RecordState.RAN,
                    "refused as run, but it did not run: " + refuse);
        }
        if (refuse.workState() == WorkState.NOT_RUN) {
            check(call.mTimesRun == 0, "refused as not run, but it ran: " + refuse);
            check(provablyNotRun(call), "refused as not run, but it may still run: " + refuse);
            check(
                    refuse.reason() != RefusalReason.DUPLICATE_KEY
                            || mRecords.get(key) == RecordState.NOT_RUN,
                    "refused as not run, but the record of the key differs: " + refuse);
        }
    }

    private void finished(RoutingDecision.FinishCall finish) {
        Call call = end(finish.call(), finish);
        check(call.mTimesRun > 0 && call.mBytesPassedOn, "finished without a response: " + finish);
    }

    private void recorded(RoutingDecision.RecordOutcome outcome) {
        CallId owner = mRecordOwners.get(outcome.key());
        Call call = mCalls.get(owner);
        check(call != null && call.mClaimDelivered, "outcome without a claim: " + outcome);
        boolean notRun = outcome.state() == RecordState.NOT_RUN;
        check(
                notRun ? provablyNotRun(call) : call.mTimesRun == 1,
                "wrong outcome recorded: " + outcome);
        mRecords.put(outcome.key(), outcome.state());
    }

    private void activationRequested(RoutingDecision.RequestActivation activation, Instant now) {
        check(
                !hasServing(new Target.ModelTarget(activation.model())),
                "activation request for a ready model: " + activation);
        check(activation.waiting() > 0, "activation request without waiting calls: " + activation);
        Instant last = mLastActivation.put(activation.model(), now);
        check(
                last == null || !now.isBefore(last.plus(mLimits.activationInterval())),
                "activation request repeated within the activation interval: " + activation);
    }

    /**
     * Checks after a timer event, for every open call without a response, that it is not overdue
     * and does not wait although it could be started.
     */
    void checkAfterTimer(Instant now) {
        for (Call call : mCalls.values()) {
            if (!call.mOpen || call.mBytesPassedOn) {
                continue;
            }
            CallId id = call.mRequest.id();
            check(call.mRequest.deadline().isAfter(now), "still open after its deadline: " + id);
            if (isWaiting(call)) {
                checkWaiting(call.mRequest.target(), id, now);
            }
        }
    }

    private void checkWaiting(Target target, CallId id, Instant now) {
        for (Replica replica : mTable.replicasOf(target)) {
            EndpointId endpoint = replica.endpoint();
            boolean free =
                    mayServe(replica)
                            && running(target, endpoint) < replica.concurrency()
                            && !isCrowded(endpoint, replica.concurrency(), now)
                            && mustBeUsed(endpoint, now);
            check(!free, "waits although " + replica + " is free: " + id);
        }
        if (target instanceof Target.ModelTarget model && !hasServing(target)) {
            Instant last = mLastActivation.get(model.model());
            boolean recent = last != null && now.isBefore(last.plus(mLimits.activationInterval()));
            check(recent, "no activation request for waiting " + id);
        }
    }

    /**
     * Records a report of the calls of other daemons; of two reports of one time the first counts.
     */
    void loadObserved(EndpointId endpoint, int callsOfOtherDaemons, Instant now) {
        OtherCalls previous = mOtherCalls.get(endpoint);
        if (previous == null || previous.at().isBefore(now)) {
            mOtherCalls.put(endpoint, new OtherCalls(callsOfOtherDaemons, now));
        }
    }

    /** Returns whether the calls of other daemons leave no room at an endpoint. */
    private boolean isCrowded(EndpointId endpoint, int concurrency, Instant now) {
        OtherCalls others = mOtherCalls.get(endpoint);
        if (others == null
                || others.calls() == 0
                || others.at().plus(EndpointState.LOAD_VALIDITY).isBefore(now)) {
            return false;
        }
        long own =
                mAttempts.stream()
                        .filter(a -> a.mOpenForRouting && a.mEndpoint.equals(endpoint))
                        .count();
        return own + others.calls() >= EndpointState.CROWDED * concurrency;
    }

    /**
     * Returns whether routing has no reason to avoid an endpoint: no attempt on it failed or was
     * cancelled, or the last one did longer ago than the longest back-off and the endpoint is idle.
     */
    private boolean mustBeUsed(EndpointId endpoint, Instant now) {
        Instant lastFailure = mLastFailure.get(endpoint);
        if (lastFailure == null) {
            return true;
        }
        boolean idle =
                mAttempts.stream()
                        .noneMatch(a -> a.mOpenForRouting && a.mEndpoint.equals(endpoint));
        return idle && !now.isBefore(lastFailure.plus(EndpointBackoff.MAX_DELAY));
    }

    private boolean isWaiting(Call call) {
        if (!call.mRequest.isIdempotent() && !call.mClaimDelivered) {
            return false;
        }
        return mAttempts.stream().noneMatch(a -> a.mCall == call && a.mOpenForRouting);
    }

    private boolean provablyNotRun(Call call) {
        return mAttempts.stream().allMatch(a -> a.mCall != call || a.mProvedNotRun);
    }

    private int running(Target target, EndpointId endpoint) {
        int running = 0;
        for (Attempt attempt : mAttempts) {
            boolean here = attempt.mEndpoint.equals(endpoint) && attempt.mOpenForRouting;
            running += here && attempt.mCall.mRequest.target().equals(target) ? 1 : 0;
        }
        return running;
    }

    boolean hasServing(Target target) {
        return mTable.replicasOf(target).stream().anyMatch(this::mayServe);
    }

    private boolean mayServe(Replica replica) {
        return replica.state() == ReplicaState.READY && !mDraining.contains(replica.endpoint());
    }

    private Call end(CallId id, RoutingDecision decision) {
        Call call = openCall(id, decision);
        call.mOpen = false;
        check(
                mAttempts.stream().noneMatch(a -> a.mCall == call && a.mOpenForRouting),
                "ended with a running attempt: " + decision);
        return call;
    }

    private Call openCall(CallId id, RoutingDecision decision) {
        Call call = mCalls.get(id);
        check(call != null && call.mOpen, "decision for a call that is not open: " + decision);
        return call;
    }

    static void check(boolean holds, String failure) {
        if (!holds) {
            throw new AssertionError(failure);
        }
    }

    /** The calls of other daemons at an endpoint, as last reported. */
    private record OtherCalls(int calls, Instant at) {}
}
