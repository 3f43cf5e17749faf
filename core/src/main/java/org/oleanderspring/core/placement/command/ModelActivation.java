package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.Readiness;

/** The merged wake requests of all daemons for one model or adapter. */
public final class ModelActivation {
    private final ModelName mModel;
    private final Instant mFirstAt;
    private final Map<MemberId, Request> mRequests = new HashMap<>();
    private @Nullable Readiness mLastEstimate;

    ModelActivation(ModelName model, Instant firstAt) {
        mModel = model;
        mFirstAt = firstAt;
    }

    /** Replaces what a daemon asked for before. */
    void request(MemberId daemon, Instant deadline, int waiting) {
        mRequests.put(daemon, new Request(deadline, waiting));
    }

    /** Forgets the requests whose deadline has passed; returns whether none is left. */
    boolean expire(Instant now) {
        mRequests.values().removeIf(request -> !request.deadline().isAfter(now));
        return mRequests.isEmpty();
    }

    /** Returns the model or adapter. */
    public ModelName model() {
        return mModel;
    }

    /** Returns when the first of the requests arrived. */
    public Instant firstAt() {
        return mFirstAt;
    }

    /** Returns the earliest deadline. */
    public Instant earliestDeadline() {
        return mRequests.values().stream()
                .map(Request::deadline)
                .min(Instant::compareTo)
                .orElse(mFirstAt);
    }

    /** Returns how many calls wait at all daemons. */
    public int waiting() {
        return mRequests.values().stream().mapToInt(Request::waiting).sum();
    }

    /** Returns how many daemons have waiting calls. */
    public int daemons() {
        return mRequests.size();
    }

    @Nullable Readiness lastEstimate() {
        return mLastEstimate;
    }

    void setLastEstimate(@Nullable Readiness estimate) {
        mLastEstimate = estimate;
    }

    private record Request(Instant deadline, int waiting) {}
}
