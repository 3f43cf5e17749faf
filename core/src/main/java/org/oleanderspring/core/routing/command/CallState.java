package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.Comparator;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;

/** The state of one open call. At most one attempt of a call runs at a time. */
final class CallState {
    /** Order of deadlines: earliest deadline first, then highest priority, then arrival. */
    static final Comparator<CallState> ORDER =
            Comparator.comparing((CallState call) -> call.mRequest.deadline())
                    .thenComparing(call -> call.mRequest.priority(), Comparator.reverseOrder())
                    .thenComparing(call -> call.mRequest.id().value());

    /** Serving order: by rank, then by deadline. */
    static final Comparator<CallState> SERVING_ORDER =
            Comparator.comparing(
                            (CallState call) -> call.mRank.urgency(), Comparator.reverseOrder())
                    .thenComparing(call -> call.mRank.share())
                    .thenComparing(ORDER);

    private final CallRequest mRequest;
    private final TargetState mTarget;
    private final Instant mArrivedAt;
    private CallRank mRank = CallRank.NONE;
    private CallPhase mPhase;
    private int mAttempts;
    private int mNotSentAttempts;
    private @Nullable RunningAttemptState mRunning;
    private boolean mClaimed;
    private boolean mResponseBegan;
    private boolean mAttemptAnswered;
    private boolean mPossiblyRun;
    private int mTrial;
    private @Nullable RefusalReason mWithdrawal;

    CallState(CallRequest request, TargetState target, Instant arrivedAt) {
        mRequest = request;
        mArrivedAt = arrivedAt;
        mTarget = target;
        mPhase = request.needsRecord() ? CallPhase.CLAIMING : CallPhase.WAITING;
    }

    CallRequest request() {
        return mRequest;
    }

    TargetState target() {
        return mTarget;
    }

    /** Sets the rank of the call. It must not wait in a queue. */
    void rank(CallRank rank) {
        mRank = rank;
    }

    CallRank rank() {
        return mRank;
    }

    Instant arrivedAt() {
        return mArrivedAt;
    }

    CallPhase phase() {
        return mPhase;
    }

    /** Returns the number of attempts started so far. */
    int attempts() {
        return mAttempts;
    }

    /** Returns the identity of the most recently started attempt. */
    AttemptId lastAttempt() {
        return new AttemptId(mRequest.id(), mAttempts);
    }

    /** Returns the running attempt, or null. */
    @Nullable RunningAttemptState running() {
        return mRunning;
    }

    boolean isRunning(AttemptId attempt) {
        return mRunning != null && attempt.number() == mAttempts;
    }

    /** Called when the claim of the dispatch record has succeeded. */
    void claimed() {
        mClaimed = true;
        mPhase = CallPhase.WAITING;
    }

    boolean isClaimed() {
        return mClaimed;
    }

    void attemptStarted(TrackedReplica replica, Instant now, boolean trial) {
        mAttempts++;
        mAttemptAnswered = false;
        mPhase = CallPhase.RUNNING;
        mRunning = new RunningAttemptState(replica, now, trial);
    }

    void attemptEnded() {
        mRunning = null;
        mPhase = CallPhase.WAITING;
    }

    void responseBegan() {
        mResponseBegan = true;
    }

    /** Called when the response of the running attempt begins. */
    void attemptAnswered() {
        mAttemptAnswered = true;
    }

    /** Returns whether an attempt is running and its response has begun. */
    boolean isBeingAnswered() {
        return mRunning != null && mAttemptAnswered;
    }

    /** Returns whether a byte of a response may have been passed on to the caller. */
    boolean hasResponseBegun() {
        return mResponseBegan;
    }

    /** Called when an attempt ends without proof that the work did not run. */
    void markPossiblyRun() {
        mPossiblyRun = true;
    }

    boolean hasPossiblyRun() {
        return mPossiblyRun;
    }

    /** Marks the call as one that tests whether its prompt crashes runners. */
    void trial(int trial) {
        mTrial = trial;
    }

    /** Returns the trial that the call is, or 0 if it is none. */
    int trial() {
        return mTrial;
    }

    /** Returns whether the call tests whether its prompt crashes runners. */
    boolean isTrial() {
        return mTrial != 0;
    }

    /** Returns whether a part of the call was sent to a runner. */
    boolean hasReachedRunner() {
        return mAttempts > mNotSentAttempts;
    }

    /** Called when nothing of the last attempt was sent. */
    void countNotSent() {
        mNotSentAttempts++;
    }

    /** Called when the caller may send no further requests. */
    void withdrawn(RefusalReason reason) {
        mWithdrawal = reason;
    }

    /** Returns why no further attempt may start, or null. */
    @Nullable RefusalReason withdrawal() {
        return mWithdrawal;
    }

    /** Returns the number of attempts of which nothing was sent. */
    int notSentAttempts() {
        return mNotSentAttempts;
    }
}
