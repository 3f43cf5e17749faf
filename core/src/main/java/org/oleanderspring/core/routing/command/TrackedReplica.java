package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;

/** A replica of one target on one endpoint, with the attempts that this daemon runs there. */
final class TrackedReplica {
    /**
     * How long a replica is skipped after its endpoint reported that it does not hold the model.
     * Within this time a routing table that no longer lists the replica arrives.
     */
    static final Duration NOT_HELD_PAUSE = Duration.ofMillis(1_500);

    /** The share of an endpoint's concurrency from which on other replicas are preferred. */
    private static final double NEARLY_FULL = 0.75;

    private final EndpointState mEndpoint;
    private Replica mReplica;
    private boolean mListed;
    private int mRunning;
    private Instant mNotHeldUntil = Instant.MIN;

    TrackedReplica(EndpointState endpoint, Replica replica) {
        mEndpoint = endpoint;
        mReplica = replica;
    }

    EndpointState endpoint() {
        return mEndpoint;
    }

    void list(Replica replica) {
        mReplica = replica;
        mListed = true;
        mEndpoint.intake().memory().capacity(replica.tokenCapacity());
    }

    void unlist() {
        mListed = false;
    }

    boolean isListed() {
        return mListed;
    }

    int running() {
        return mRunning;
    }

    @Nullable FailureDomain failureDomain() {
        return mReplica.failureDomain();
    }

    int concurrency() {
        return mReplica.concurrency();
    }

    /** Returns whether the replica accepts new calls, regardless of its load. */
    boolean isServing() {
        return mListed && mReplica.state() == ReplicaState.READY && !mEndpoint.intake().isLeaving();
    }

    /**
     * Returns whether a call can be started on the replica now.
     *
     * @param need what the call needs
     */
    boolean isAvailable(Instant now, CallNeed need) {
        return isAvailableWithPermit(now, need) && mEndpoint.intake().permits().allows(now);
    }

    /**
     * Returns whether a call that has a permit can be started on the replica now.
     *
     * @param need what the call needs
     */
    boolean isAvailableWithPermit(Instant now, CallNeed need) {
        return mRunning < mReplica.concurrency()
                && isServing()
                && !now.isBefore(mNotHeldUntil)
                && mEndpoint.intake().allowsWithPermit(now)
                && (need.urgent() || !mEndpoint.isCrowded(mReplica.concurrency(), now))
                && mEndpoint.hasMemory(need.tokens(), now);
    }

    /** Returns whether further calls will soon wait at the endpoint. */
    boolean isNearlyFull(Instant now) {
        return mEndpoint.equivalentCalls(now) >= NEARLY_FULL * mReplica.concurrency();
    }

    /** Returns the number of calls of all daemons at the endpoint; 0 if it accepts no new calls. */
    int callsOfAllDaemons(Instant now) {
        return isServing() ? mEndpoint.callsOfAllDaemons(now) : 0;
    }

    /**
     * Skips the replica for {@link #NOT_HELD_PAUSE}, because its endpoint does not hold the model.
     */
    void markNotHeld(Instant now) {
        mNotHeldUntil = now.plus(NOT_HELD_PAUSE);
    }

    void changeRunning(int difference) {
        mRunning += difference;
        mEndpoint.changeRunning(difference);
    }

    /** Returns how much of the concurrency is in use; 0 if the replica accepts no new calls. */
    int usedConcurrency() {
        return isServing() ? Math.min(mRunning, mReplica.concurrency()) : 0;
    }
}
