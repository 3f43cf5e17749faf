package org.oleanderspring.core.residency.command;

import java.time.Instant;
import java.util.Map;
import java.util.Set;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.EndpointId;

/**
 * The right of this daemon to give orders, and the numbers that it gives out meanwhile.
 *
 * <p>The holder before names the runners that it has just ordered by the identity of their process.
 * A runner that restarts has another identity, so a runner that joins after the tenure began may be
 * one of them and waits as long as the last of them. If a named runner is not registered when the
 * tenure begins, the same holds for every runner that is not named.
 */
final class Tenure {
    private FencingToken mToken = FencingToken.NONE;
    private Instant mOrdersFrom = Instant.MAX;
    private Instant mOthersFrom = Instant.MAX;
    private Map<EndpointId, Instant> mLaterRunners = Map.of();
    private Set<EndpointId> mKnownRunners = Set.of();
    private long mNextOrder = 1;
    private long mNextStatement = 1;

    /**
     * Begins to give orders.
     *
     * @param began the token and the times from which on runners may be ordered
     * @param registered the runners that are registered now
     */
    void begin(ResidencyEvent.TenureBegan began, Set<EndpointId> registered) {
        mToken = began.token();
        mOrdersFrom = began.ordersFrom();
        mLaterRunners = began.laterRunners();
        boolean allNamedAreKnown = registered.containsAll(mLaterRunners.keySet());
        mKnownRunners = allNamedAreKnown ? Set.copyOf(registered) : Set.of();
        mOthersFrom = mOrdersFrom;
        for (Instant later : mLaterRunners.values()) {
            mOthersFrom = later.isAfter(mOthersFrom) ? later : mOthersFrom;
        }
    }

    void end() {
        mOrdersFrom = Instant.MAX;
    }

    boolean mayOrder(Instant now) {
        return !now.isBefore(mOrdersFrom);
    }

    /** Returns whether a runner may be ordered. */
    boolean mayOrder(EndpointId runner, Instant now) {
        return mayOrder(now) && !now.isBefore(runnerOrdersFrom(runner));
    }

    private Instant runnerOrdersFrom(EndpointId runner) {
        Instant later = mLaterRunners.get(runner);
        if (later != null) {
            return later;
        }
        return mKnownRunners.contains(runner) ? mOrdersFrom : mOthersFrom;
    }

    FencingToken token() {
        return mToken;
    }

    long nextOrder() {
        return mNextOrder++;
    }

    long nextStatement() {
        return mNextStatement++;
    }
}
