package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;

/** One target on one endpoint, with the attempts that this daemon runs there. */
final class ReplicaSlot {
    /** Within this time a table that no longer lists the replica has arrived. */
    static final Duration NOT_HELD_PAUSE = Duration.ofMillis(1_500);

    private final EndpointState mEndpoint;
    private Replica mReplica;
    private boolean mListed;
    private int mRunning;
    private Instant mNotHeldUntil = Instant.MIN;

    ReplicaSlot(EndpointState endpoint, Replica replica) {
        mEndpoint = endpoint;
        mReplica = replica;
    }

    EndpointState endpoint() {
        return mEndpoint;
    }

    void list(Replica replica) {
        mReplica = replica;
        mListed = true;
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

    int concurrency() {
        return mReplica.concurrency();
    }

    /** Returns whether the replica takes new calls at all. */
    boolean isServing() {
        return mListed && mReplica.state() == ReplicaState.READY && !mEndpoint.isDraining();
    }

    /** Returns whether the replica may receive a call now. */
    boolean isAvailable(Instant now) {
        return mRunning < mReplica.concurrency()
                && isServing()
                && !now.isBefore(mNotHeldUntil)
                && mEndpoint.backoff().allows(now);
    }

    /** Leaves the replica out for a while, because the endpoint said that it does not hold it. */
    void notHeld(Instant now) {
        mNotHeldUntil = now.plus(NOT_HELD_PAUSE);
    }

    void changeRunning(int difference) {
        mRunning += difference;
        mEndpoint.changeRunning(difference);
    }

    /** Returns the running attempts that count against the concurrency of a serving replica. */
    int busy() {
        return isServing() ? Math.min(mRunning, mReplica.concurrency()) : 0;
    }
}
