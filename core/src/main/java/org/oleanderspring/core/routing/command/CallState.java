package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.Comparator;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.CallRequest;

/** One open call. At most one of its attempts runs at a time. */
final class CallState {
    /** The order in which calls are served: deadline, then priority, then arrival. */
    static final Comparator<CallState> ORDER =
            Comparator.comparing((CallState call) -> call.mRequest.deadline())
                    .thenComparing(call -> call.mRequest.priority(), Comparator.reverseOrder())
                    .thenComparing(call -> call.mRequest.id().value());

    private final CallRequest mRequest;
    private final TargetState mTarget;
    private CallPhase mPhase;
    private int mAttempts;
    private int mUnreached;
    private @Nullable RunningAttemptState mRunning;
    private boolean mClaimed;
    private boolean mAnswerBegan;
    private boolean mMayHaveRun;

    CallState(CallRequest request, TargetState target) {
        mRequest = request;
        mTarget = target;
        mPhase = request.needsRecord() ? CallPhase.CLAIMING : CallPhase.WAITING;
    }

    CallRequest request() {
        return mRequest;
    }

    TargetState target() {
        return mTarget;
    }

    CallPhase phase() {
        return mPhase;
    }

    int attempts() {
        return mAttempts;
    }

    /** Returns the identity of the last attempt that was started. */
    AttemptId lastAttempt() {
        return new AttemptId(mRequest.id(), mAttempts);
    }

    /** Returns the attempt that runs now, or null. */
    @Nullable RunningAttemptState running() {
        return mRunning;
    }

    boolean isCurrent(AttemptId attempt) {
        return mRunning != null && attempt.number() == mAttempts;
    }

    /** Notes that the dispatch record belongs to this call. */
    void claimed() {
        mClaimed = true;
        mPhase = CallPhase.WAITING;
    }

    boolean isClaimed() {
        return mClaimed;
    }

    void started(ReplicaSlot slot, Instant now, boolean trial) {
        mAttempts++;
        mPhase = CallPhase.RUNNING;
        mRunning = new RunningAttemptState(slot, now, trial);
    }

    void stopped() {
        mRunning = null;
        mPhase = CallPhase.WAITING;
    }

    void answerBegan() {
        mAnswerBegan = true;
    }

    /** Returns whether a byte of an answer may have been passed on to the caller. */
    boolean hasAnswerBegun() {
        return mAnswerBegan;
    }

    /** Notes that an attempt ended without proof that the work did not run. */
    void mayHaveRun() {
        mMayHaveRun = true;
    }

    boolean hasPossiblyRun() {
        return mMayHaveRun;
    }

    /** Notes that the last attempt did not reach its endpoint. */
    void endpointNotReached() {
        mUnreached++;
    }

    /** Returns how many attempts did not reach their endpoint. */
    int unreached() {
        return mUnreached;
    }
}
