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

    /** From this pace on, an endpoint is shown as slow. */
    private static final double SLOW = 1.5;

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
    private double mPace = 1;
    private int mReportedRunning;
    private int mSamples;
    private double mPaceLogarithms;

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
        return state == IntakeState.OPEN && pace(now) >= SLOW ? IntakeState.SLOW : state;
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
        mPace = load.slowness();
    }

    /** Returns the work at the endpoint; see {@link EndpointPace#equivalentCalls}. */
    double equivalentCalls(Instant now) {
        return EndpointPace.equivalentCalls(callsOfAllDaemons(now), pace(now));
    }

    /**
     * Returns the pace that all daemons measured together, or 1 if the report is older than {@link
     * #LOAD_VALIDITY}.
     */
    double pace(Instant now) {
        return mLoadObservedAt.plus(LOAD_VALIDITY).isBefore(now) ? 1 : mPace;
    }

    /**
     * Adds a sample of the pace.
     *
     * @param pace the time to the first byte divided by the usual time
     */
    void addPace(double pace) {
        mSamples++;
        mPaceLogarithms += Math.log(pace);
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
        double slowness = mSamples == 0 ? 1 : Math.exp(mPaceLogarithms / mSamples);
        EndpointUse use = new EndpointUse(mId, mRunning, mSamples, slowness, statement);
        mReportedRunning = mRunning;
        mSamples = 0;
        mPaceLogarithms = 0;
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
