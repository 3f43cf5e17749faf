package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.core.organisation.TokenCount;
import org.oleanderspring.core.routing.IntakeState;

/** The routing state of one endpoint, shared by all targets that it serves. */
final class EndpointState {
    /**
     * Age after which a load report of other daemons is ignored, because it does not show the
     * current load.
     */
    static final Duration LOAD_VALIDITY = Duration.ofSeconds(10);

    /**
     * Number of consecutive attempts without a response that counts as a failure of the endpoint.
     * One or two occur at any endpoint when callers have short deadlines; a stopped process answers
     * none.
     */
    private static final int UNANSWERED_LIMIT = 3;

    /**
     * From this multiple of its concurrency on, an endpoint gets no further calls of any daemon. A
     * few calls that wait there keep it busy; more would leave before it begins to answer them.
     */
    static final double CROWDED = 1.25;

    /** From this slowness on, an endpoint counts as slow; smaller differences have other causes. */
    private static final double SLOW = 1.5;

    /**
     * The calls that a slow endpoint seems to run in addition, for each multiple of the usual time
     * to the first byte. Other replicas of the same model then take the calls, up to this number.
     */
    private static final int SLOW_ENDPOINT_CALLS = 4;

    private final EndpointId mId;
    private final EndpointIntake mIntake = new EndpointIntake();
    private final List<TargetState> mTargets = new ArrayList<>(1);
    private int mRunning;

    /** Whether the endpoint has said to this daemon that it leaves. */
    private boolean mStatedLeaving;

    private Instant mLastListed;
    private int mCallsOfOtherDaemons;
    private int mConsecutiveUnanswered;
    private Instant mLoadObservedAt = Instant.MIN;
    private double mSlowness = 1;
    private int mReportedRunning;
    private int mSamples;
    private double mSlownessSum;

    EndpointState(EndpointId id, Instant now) {
        mId = id;
        mLastListed = now;
    }

    EndpointId id() {
        return mId;
    }

    /** Returns why, until when and how much the endpoint takes new calls. */
    EndpointIntake intake() {
        return mIntake;
    }

    /** Returns how the endpoint takes new calls. */
    IntakeState intakeState(Instant now) {
        IntakeState state = mIntake.state(now);
        return state == IntakeState.OPEN && isSlow(now) ? IntakeState.SLOW : state;
    }

    int running() {
        return mRunning;
    }

    void changeRunning(int difference) {
        mRunning += difference;
    }

    /** Called when a response to any attempt begins. Returns whether this ends a back-off. */
    boolean responseBegan(Instant startedAt) {
        mConsecutiveUnanswered = 0;
        return mIntake.backoff().responseBegan(startedAt);
    }

    /**
     * Called when an attempt got no byte of a response although it lasted at least the average time
     * to first byte of its target. Returns whether the number of such attempts since the last
     * response has reached {@link #UNANSWERED_LIMIT}.
     */
    boolean attemptUnanswered() {
        mConsecutiveUnanswered++;
        return mConsecutiveUnanswered >= UNANSWERED_LIMIT;
    }

    /** Records that the endpoint has said to this daemon that it leaves. */
    void statedLeaving() {
        mStatedLeaving = true;
    }

    void addTarget(TargetState target) {
        mTargets.add(target);
    }

    void removeTarget(TargetState target, Instant now) {
        mTargets.remove(target);
        mLastListed = now;
    }

    /** Returns the targets that have a replica on this endpoint. */
    List<TargetState> targets() {
        return mTargets;
    }

    void updateLoad(int callsOfOtherDaemons, Instant observedAt) {
        if (observedAt.isAfter(mLoadObservedAt)) {
            mCallsOfOtherDaemons = callsOfOtherDaemons;
            mLoadObservedAt = observedAt;
        }
    }

    /**
     * Returns the number of calls running on the endpoint: those of this daemon and, unless the
     * report is older than {@link #LOAD_VALIDITY}, those of other daemons.
     */
    int callsOfAllDaemons(Instant now) {
        if (mCallsOfOtherDaemons == 0 || mLoadObservedAt.plus(LOAD_VALIDITY).isBefore(now)) {
            return mRunning;
        }
        return mRunning + mCallsOfOtherDaemons;
    }

    /** Applies a report of the load over all daemons, in which this daemon's last report counts. */
    void loadReported(EndpointLoad load, Instant now) {
        mIntake.permits().reported(load.statement().limit(), now);
        updateLoad(Math.max(0, load.running() - mReportedRunning), now);
        mSlowness = load.slowness();
    }

    /**
     * Returns the number of calls that would load an endpoint of usual speed as much as this one is
     * loaded; see {@link #SLOW_ENDPOINT_CALLS}.
     */
    int equivalentCalls(Instant now) {
        int calls = callsOfAllDaemons(now);
        return isSlow(now)
                ? calls + (int) Math.round((mSlowness - 1) * SLOW_ENDPOINT_CALLS)
                : calls;
    }

    private boolean isSlow(Instant now) {
        return mSlowness >= SLOW && !mLoadObservedAt.plus(LOAD_VALIDITY).isBefore(now);
    }

    /**
     * Adds a sample of the time to the first byte, relative to the usual one.
     *
     * @param slowness the time divided by the usual time
     */
    void addSlowness(double slowness) {
        mSamples++;
        mSlownessSum += slowness;
    }

    /** Returns the use since the last call, or null if there is nothing to report. */
    @Nullable EndpointUse takeUse(Instant now) {
        // Once the registry says so as well, the endpoint has no targets any more.
        boolean leaving = mStatedLeaving && !mTargets.isEmpty();
        EndpointStatement statement = new EndpointStatement(leaving, mIntake.permits().heard(now));
        if (mRunning == 0
                && mReportedRunning == 0
                && mSamples == 0
                && statement.equals(EndpointStatement.NONE)) {
            return null;
        }
        double slowness = mSamples == 0 ? 1 : mSlownessSum / mSamples;
        EndpointUse use = new EndpointUse(mId, mRunning, mSamples, slowness, statement);
        mReportedRunning = mRunning;
        mSamples = 0;
        mSlownessSum = 0;
        return use;
    }

    /**
     * Returns whether the calls of other daemons, together with those of this one, leave no room
     * for a further call.
     *
     * @param concurrency the number of calls that the endpoint runs at a time
     */
    boolean isCrowded(int concurrency, Instant now) {
        int calls = callsOfAllDaemons(now);
        return calls > mRunning && calls >= CROWDED * concurrency;
    }

    /**
     * Returns whether the tokens of a call fit into the memory of the endpoint.
     *
     * @param tokens the tokens, or null if the call does not name them
     */
    boolean hasMemory(@Nullable TokenCount tokens, Instant now) {
        return mIntake.memory().hasRoom(tokens, callsOfAllDaemons(now));
    }

    /** Returns whether no target lists the endpoint and no attempt of this daemon runs there. */
    boolean isUnused() {
        return mTargets.isEmpty() && mRunning == 0;
    }

    /**
     * Returns when a routing table last listed the endpoint. Meaningful only while no table lists
     * it.
     */
    Instant lastListed() {
        return mLastListed;
    }
}
