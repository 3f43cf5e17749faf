package org.oleanderspring.core.routing.command;

import java.util.EnumMap;
import java.util.Map;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.query.RoutingCounters;

/**
 * Counts calls, attempts, requests to activate a model, and late events since the start of the
 * daemon.
 */
final class RoutingStatistics {
    private final Map<RefusalReason, Long> mRefused = new EnumMap<>(RefusalReason.class);
    private long mArrived;
    private long mFirstAttempts;
    private long mRetries;
    private long mFinished;
    private long mDisconnectedCallers;
    private long mRefusedServable;
    private long mActivationRequests;
    private long mLateEvents;

    void arrived() {
        mArrived++;
    }

    void attemptStarted(int attempt) {
        if (attempt == 1) {
            mFirstAttempts++;
        } else {
            mRetries++;
        }
    }

    void finished() {
        mFinished++;
    }

    void callerDisconnected() {
        mDisconnectedCallers++;
    }

    void refused(RefusalReason reason) {
        mRefused.merge(reason, 1L, Long::sum);
    }

    /** Counts a call that was refused by an estimate although it could have been served. */
    void refusedServable() {
        mRefusedServable++;
    }

    /** Counts a request to activate a model, sent while calls for it wait. */
    void activationRequested() {
        mActivationRequests++;
    }

    /**
     * Counts an event that changes nothing: it is repeated, or its call has ended, or its attempt
     * is not running.
     */
    void lateEvent() {
        mLateEvents++;
    }

    RoutingCounters toCounters() {
        return new RoutingCounters(
                mArrived,
                mFirstAttempts,
                mRetries,
                mFinished,
                mDisconnectedCallers,
                mRefused,
                mRefusedServable,
                mActivationRequests,
                mLateEvents);
    }
}
