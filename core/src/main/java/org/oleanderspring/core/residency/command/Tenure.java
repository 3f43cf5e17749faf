package org.oleanderspring.core.residency.command;

import java.time.Instant;
import java.util.Map;
import java.util.Set;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.EndpointId;

/**
 * The period in which this daemon may send orders, with the sequence numbers that it assigns in
 * this period.
 *
 * <p>The previous holder lists the runners to which it has just sent orders by the identifier of
 * their process. A runner gets another identifier when it restarts, so a runner that registers
 * after the tenure began may be one of those listed. It must therefore wait for the latest of their
 * times. If a listed runner is not registered when the tenure begins, the same applies to every
 * runner that is not listed.
 */
final class Tenure {
    private FencingToken mToken = FencingToken.NONE;
    private Instant mOrdersFrom = Instant.MAX;

    /**
     * The time from which on orders may be sent to runners that are in neither collection below.
     */
    private Instant mUnlistedRunnersFrom = Instant.MAX;

    /**
     * The runners to which the previous holder has just sent orders, with the end of their wait.
     */
    private Map<EndpointId, Instant> mDeferredRunners = Map.of();

    /**
     * The runners that were registered when the tenure began; empty if a deferred runner was not.
     * Those among them that are not deferred get orders from {@code mOrdersFrom} on.
     */
    private Set<EndpointId> mUndeferredRunners = Set.of();

    private long mNextOrder = 1;
    private long mNextStatement = 1;

    /**
     * Begins a tenure.
     *
     * @param began the fencing token and the times from which on orders may be sent
     * @param registered the runners that are currently registered
     */
    void begin(ResidencyEvent.TenureBegan began, Set<EndpointId> registered) {
        mToken = began.token();
        mOrdersFrom = began.ordersFrom();
        mDeferredRunners = began.deferredRunners();
        boolean allDeferredAreRegistered = registered.containsAll(mDeferredRunners.keySet());
        mUndeferredRunners = allDeferredAreRegistered ? Set.copyOf(registered) : Set.of();
        mUnlistedRunnersFrom = mOrdersFrom;
        for (Instant deferredUntil : mDeferredRunners.values()) {
            mUnlistedRunnersFrom =
                    deferredUntil.isAfter(mUnlistedRunnersFrom)
                            ? deferredUntil
                            : mUnlistedRunnersFrom;
        }
    }

    void end() {
        mOrdersFrom = Instant.MAX;
    }

    boolean mayOrder(Instant now) {
        return !now.isBefore(mOrdersFrom);
    }

    /** Returns whether orders may be sent to a runner now. */
    boolean mayOrder(EndpointId runner, Instant now) {
        return mayOrder(now) && !now.isBefore(runnerOrdersFrom(runner));
    }

    private Instant runnerOrdersFrom(EndpointId runner) {
        Instant deferredUntil = mDeferredRunners.get(runner);
        if (deferredUntil != null) {
            return deferredUntil;
        }
        return mUndeferredRunners.contains(runner) ? mOrdersFrom : mUnlistedRunnersFrom;
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
