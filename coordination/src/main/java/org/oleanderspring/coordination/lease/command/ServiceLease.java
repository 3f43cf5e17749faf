package org.oleanderspring.coordination.lease.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.LeaseSettings;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;

/**
 * The one lease that a daemon has from the key-value service; the keys of all its leases are bound
 * to it, so a daemon renews with one write per period however many leases it holds.
 *
 * <p>The holder counts from when a request was decided, which is before the service received it.
 * The service counts from when it received the request, so the holder's end never comes after the
 * service's end as long as both clocks run at the same speed; the safety margin covers the rest.
 */
final class ServiceLease {
    private enum Kind {
        GRANT,
        RENEW,
        REVOKE
    }

    private record Pending(StoreOperationId operation, Kind kind, Instant sentAt) {}

    private final LeaseSettings mSettings;
    private @Nullable StoreLeaseId mLease;
    private @Nullable Pending mPending;
    private Instant mHeldUntil = Instant.MIN;
    private Instant mNextCall = Instant.MIN;
    private boolean mStopping;

    ServiceLease(LeaseSettings settings) {
        mSettings = settings;
    }

    @Nullable StoreLeaseId lease() {
        return mLease;
    }

    boolean usable(Instant now) {
        return mLease != null && now.isBefore(mHeldUntil);
    }

    /** Returns whether nothing is held and no request is under way. */
    boolean isGone() {
        return mLease == null && mPending == null;
    }

    /** From now on the lease is revoked instead of renewed. */
    void stop(Instant now) {
        mStopping = true;
        mNextCall = now;
        if (mPending != null && mPending.kind() == Kind.RENEW) {
            mPending = null;
        }
    }

    void step(
            boolean needed,
            StoreOperationId nextOperation,
            Instant now,
            List<LeaseDecision> decisions) {
        dropOverduePending(now);
        if (mPending != null || now.isBefore(mNextCall)) {
            return;
        }
        StoreLeaseId lease = mLease;
        if (mStopping) {
            if (lease != null) {
                mPending = new Pending(nextOperation, Kind.REVOKE, now);
                decisions.add(new LeaseDecision.RevokeServiceLease(nextOperation, lease));
            }
            return;
        }
        if (!needed) {
            return;
        }
        if (lease == null) {
            mPending = new Pending(nextOperation, Kind.GRANT, now);
            decisions.add(
                    new LeaseDecision.GrantServiceLease(nextOperation, mSettings.timeToLive()));
            return;
        }
        mPending = new Pending(nextOperation, Kind.RENEW, now);
        decisions.add(new LeaseDecision.RenewServiceLease(nextOperation, lease));
    }

    /** Handles a reply; returns whether the service no longer knows the lease. */
    boolean replied(StoreOperationId operation, StoreLeaseResult result, Instant now) {
        Pending pending = mPending;
        if (pending == null || !pending.operation().equals(operation)) {
            return false;
        }
        mPending = null;
        if (result instanceof StoreLeaseResult.Held held) {
            hold(held, pending, now);
            return false;
        }
        if (result instanceof StoreLeaseResult.Lapsed) {
            forget(now);
            return true;
        }
        mNextCall = now.plus(mSettings.retryDelay());
        return false;
    }

    /** While stopping: the lease ends by itself once its time has passed. */
    void forgetIfEnded(Instant now) {
        if (mLease != null && !now.isBefore(mHeldUntil.plus(mSettings.safetyMargin()))) {
            forget(now);
            mPending = null;
        }
    }

    private void hold(StoreLeaseResult.Held held, Pending pending, Instant now) {
        if (pending.kind() == Kind.REVOKE) {
            mNextCall = now.plus(mSettings.retryDelay());
            return;
        }
        Duration timeToLive = shorter(held.timeToLive(), mSettings.timeToLive());
        mLease = held.lease();
        mHeldUntil = pending.sentAt().plus(timeToLive).minus(mSettings.safetyMargin());
        mNextCall = mStopping ? now : pending.sentAt().plus(mSettings.renewalPeriod());
    }

    private void forget(Instant now) {
        mLease = null;
        mHeldUntil = Instant.MIN;
        mNextCall = now;
    }

    private void dropOverduePending(Instant now) {
        Pending pending = mPending;
        if (pending == null) {
            return;
        }
        if (!now.isBefore(pending.sentAt().plus(mSettings.operationTimeout()))) {
            mPending = null;
            mNextCall = now;
        }
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }
}
