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
 * Knows what the endpoints truly did and what routing was told, and checks each decision against
 * it. It shares no logic with the decider: it keeps plain lists and looks through all of them.
 */
final class FuzzOracle {
    /** One call as the caller and the endpoints see it. */
    static final class Call {
        final CallRequest mRequest;
        boolean mOpen = true;
        boolean mClaimDelivered;
        boolean mBytesPassedOn;
        int mTimesRun;

        Call(CallRequest request) {
            mRequest = request;
        }
    }

    /** One attempt as the endpoint sees it. */
    static final class Attempt {
        final AttemptId mId;
        final Call mCall;
        final EndpointId mEndpoint;
        boolean mRan;
        boolean mBegan;
        boolean mEnded;
        boolean mOpenForRouting = true;
        boolean mProvedNotRun;

        Attempt(AttemptId id, Call call, EndpointId endpoint) {
            mId = id;
            mCall = call;
            mEndpoint = endpoint;
        }

        /** The endpoint does the work. */
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
    final Map<ModelName, Instant> mWakes = new HashMap<>();
    final Map<EndpointId, Instant> mLastTrouble = new HashMap<>();
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
        } else if (decision instanceof RoutingDecision.RequestActivation wake) {
            woke(wake, now);
        }
    }

    private void started(RoutingDecision.StartAttempt start, Instant now) {
        Call call = openCall(start.attempt().call(), start);
        CallRequest request = call.mRequest;
        check(mMayDecide, "attempt without authority: " + start);
        check(request.deadline().isAfter(now), "attempt after the deadline: " + start);
        check(request.deadline().equals(start.deadline()), "deadline changed: " + start);
        check(request.isIdempotent() || call.mClaimDelivered, "no claim: " + start);
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
        check(start.attempt().number() == earlier + 1, "attempt number: " + start);
        check(
                earlier == 0 || earlier < mLimits.attemptLimit(),
                "more attempts than allowed: " + start);
        checkPlace(request.target(), start);
        mAttempts.add(new Attempt(start.attempt(), call, start.endpoint()));
    }

    private void checkPlace(Target target, RoutingDecision.StartAttempt start) {
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
                mLastTrouble.put(attempt.mEndpoint, now);
            }
        }
    }

    private void refused(RoutingDecision.Refuse refuse) {
        Call call = end(refuse.call(), refuse);
        IdempotencyKey key = call.mRequest.idempotencyKey();
        if (refuse.workState() == WorkState.RAN) {
            check(mRecords.get(key) == RecordState.RAN, "did not run: " + refuse);
        }
        if (refuse.workState() == WorkState.NOT_RUN) {
            check(call.mTimesRun == 0, "refused as not run, but it ran: " + refuse);
            check(mayNeverRun(call), "refused as not run, but it may still run: " + refuse);
            check(
                    refuse.reason() != RefusalReason.DUPLICATE_KEY
                            || mRecords.get(key) == RecordState.NOT_RUN,
                    "refused as not run, but the key says otherwise: " + refuse);
        }
    }

    private void finished(RoutingDecision.FinishCall finish) {
        Call call = end(finish.call(), finish);
        check(call.mTimesRun > 0 && call.mBytesPassedOn, "finished without answer: " + finish);
    }

    private void recorded(RoutingDecision.RecordOutcome outcome) {
        CallId owner = mRecordOwners.get(outcome.key());
        Call call = mCalls.get(owner);
        check(call != null && call.mClaimDelivered, "outcome without a claim: " + outcome);
        boolean notRun = outcome.state() == RecordState.NOT_RUN;
        check(notRun ? mayNeverRun(call) : call.mTimesRun == 1, "false outcome: " + outcome);
        mRecords.put(outcome.key(), outcome.state());
    }

    private void woke(RoutingDecision.RequestActivation wake, Instant now) {
        check(!hasServing(new Target.ModelTarget(wake.model())), "woke a ready model: " + wake);
        check(wake.waiting() > 0, "woke a model without calls: " + wake);
        Instant last = mWakes.put(wake.model(), now);
        check(
                last == null || !now.isBefore(last.plus(mLimits.activationInterval())),
                "wake repeated too early: " + wake);
    }

    /** Checks after a timer step that nothing was forgotten. */
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
                            && isTrusted(endpoint, now);
            check(!free, "waits although " + replica + " is free: " + id);
        }
        if (target instanceof Target.ModelTarget model && !hasServing(target)) {
            Instant last = mWakes.get(model.model());
            boolean lately = last != null && now.isBefore(last.plus(mLimits.activationInterval()));
            check(lately, "no wake request for waiting " + id);
        }
    }

    /** Returns whether an endpoint must be used: it never failed, or long ago and is idle. */
    private boolean isTrusted(EndpointId endpoint, Instant now) {
        Instant trouble = mLastTrouble.get(endpoint);
        if (trouble == null) {
            return true;
        }
        boolean idle =
                mAttempts.stream()
                        .noneMatch(a -> a.mOpenForRouting && a.mEndpoint.equals(endpoint));
        return idle && !now.isBefore(trouble.plus(EndpointBackoff.LONGEST));
    }

    private boolean isWaiting(Call call) {
        if (!call.mRequest.isIdempotent() && !call.mClaimDelivered) {
            return false;
        }
        return mAttempts.stream().noneMatch(a -> a.mCall == call && a.mOpenForRouting);
    }

    private boolean mayNeverRun(Call call) {
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
        check(call != null && call.mOpen, "call has ended before: " + decision);
        return call;
    }

    static void check(boolean holds, String failure) {
        if (!holds) {
            throw new AssertionError(failure);
        }
    }
}
