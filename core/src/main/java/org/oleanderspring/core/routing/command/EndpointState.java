package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.core.fleet.EndpointId;

/** What routing knows of one endpoint across all targets that it serves. */
final class EndpointState {
    /** A seen load that is older says nothing about the present one. */
    static final Duration LOAD_VALIDITY = Duration.ofSeconds(10);

    /**
     * So many attempts in a row without an answer count as a failure. One or two happen at any
     * endpoint when callers have little time; a stopped process answers none.
     */
    private static final int SILENT_ATTEMPTS = 3;

    private final EndpointId mId;
    private final EndpointBackoff mBackoff = new EndpointBackoff();
    private final List<TargetState> mListedBy = new ArrayList<>(1);
    private int mRunning;
    private boolean mDraining;
    private Instant mLastListed;
    private int mCallsOfOthers;
    private int mUnanswered;
    private Instant mLoadSeenAt = Instant.MIN;

    EndpointState(EndpointId id, Instant now) {
        mId = id;
        mLastListed = now;
    }

    EndpointId id() {
        return mId;
    }

    EndpointBackoff backoff() {
        return mBackoff;
    }

    int running() {
        return mRunning;
    }

    void changeRunning(int difference) {
        mRunning += difference;
    }

    /** Notes an answer to any attempt; returns whether this lifts a back-off. */
    boolean answered(Instant startedAt) {
        mUnanswered = 0;
        return mBackoff.succeeded(startedAt);
    }

    /**
     * Notes that an attempt had the usual time and no answer; returns whether it is one of many.
     */
    boolean unanswered() {
        mUnanswered++;
        return mUnanswered >= SILENT_ATTEMPTS;
    }

    boolean isDraining() {
        return mDraining;
    }

    void drain() {
        mDraining = true;
    }

    void listed(TargetState target) {
        mListedBy.add(target);
    }

    void unlisted(TargetState target, Instant now) {
        mListedBy.remove(target);
        mLastListed = now;
    }

    /** Returns the targets that have a replica here. */
    List<TargetState> listedBy() {
        return mListedBy;
    }

    void loadSeen(int callsOfOthers, Instant seenAt) {
        if (seenAt.isAfter(mLoadSeenAt)) {
            mCallsOfOthers = callsOfOthers;
            mLoadSeenAt = seenAt;
        }
    }

    /** Returns the calls that run here, those of other daemons as far as they were seen lately. */
    int load(Instant now) {
        if (mCallsOfOthers == 0 || mLoadSeenAt.plus(LOAD_VALIDITY).isBefore(now)) {
            return mRunning;
        }
        return mRunning + mCallsOfOthers;
    }

    /** Returns whether nothing refers to the endpoint any more. */
    boolean isUnused() {
        return mListedBy.isEmpty() && mRunning == 0;
    }

    /** Returns when a table last listed the endpoint, if no table lists it now. */
    Instant lastListed() {
        return mLastListed;
    }
}
