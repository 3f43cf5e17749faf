package org.oleanderspring.coordination.lease.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.LeaseOptions;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;

/**
 * The single lease that a daemon holds at the key-value service. The keys of all its leases are
 * bound to it, so one renewal per period is enough however many leases the daemon holds.
 *
 * <p>The holder measures the time to live from when it decided to send a request, the service from
 * when it received the request. The lease therefore never ends later at the holder than at the
 * service as long as both clocks run at the same speed; the safety margin covers clock drift.
 */
final class ServiceLease {
    private enum Kind {
        GRANT,
        RENEW,
        REVOKE
    }

    private record Pending(StoreOperationId operation, Kind kind, Instant sentAt) {}

    private final LeaseOptions mOptions;
    private @Nullable StoreLeaseId mLease;
    private @Nullable Pending mPending;
    private Instant mHeldUntil = Instant.MIN;
    private Instant mNextRequestAt = Instant.MIN;
    private boolean mStopping;

    ServiceLease(LeaseOptions options) {
        mOptions = options;
    }

    @Nullable StoreLeaseId lease() {
        return mLease;
    }

    /**
     * Returns whether the lease is held and its time to live, less the safety margin, has not
     * passed.
     */
    boolean isUsable(Instant now) {
        return mLease != null && now.isBefore(mHeldUntil);
    }

    /** Returns whether no lease is held and no request is in flight. */
    boolean isEnded() {
        return mLease == null && mPending == null;
    }

    /**
     * Makes later steps revoke the lease instead of renewing it. The reply to a pending renewal is
     * ignored, so that the lease can be revoked at once; a pending grant is awaited, since its
     * reply names the lease to revoke.
     */
    void stop(Instant now) {
        mStopping = true;
        mNextRequestAt = now;
        if (mPending != null && mPending.kind() == Kind.RENEW) {
            mPending = null;
        }
    }

    /**
     * Adds the next request if one is due and none is pending. A lease is granted and renewed only
     * if it is needed, that is, while the daemon competes for any lease.
     */
    void step(
            boolean needed,
            StoreOperationId nextOperation,
            Instant now,
            List<LeaseDecision> decisions) {
        dropOverduePending(now);
        if (mPending != null || now.isBefore(mNextRequestAt)) {
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
                    new LeaseDecision.GrantServiceLease(nextOperation, mOptions.timeToLive()));
            return;
        }
        mPending = new Pending(nextOperation, Kind.RENEW, now);
        decisions.add(new LeaseDecision.RenewServiceLease(nextOperation, lease));
    }

    /**
     * Forgets the lease, which the key-value service may not have any more after it came back from
     * a copy, or may have granted to another daemon. The reply to a pending grant is still awaited.
     */
    void restored(Instant now) {
        clear(now);
        if (mPending != null && mPending.kind() != Kind.GRANT) {
            mPending = null;
        }
    }

    /** Handles a reply; returns whether the lease has lapsed at the key-value service. */
    boolean replied(StoreOperationId operation, StoreLeaseResult result, Instant now) {
        Pending pending = mPending;
        if (pending == null || !pending.operation().equals(operation)) {
            return false;
        }
        mPending = null;
        if (result instanceof StoreLeaseResult.Held held) {
            held(held, pending, now);
            return false;
        }
        if (result instanceof StoreLeaseResult.Lapsed) {
            clear(now);
            return true;
        }
        mNextRequestAt = now.plus(mOptions.retryDelay());
        return false;
    }

    /** While stopping, drops a lease that has expired without having been revoked. */
    void clearIfExpired(Instant now) {
        if (mLease != null && !now.isBefore(mHeldUntil.plus(mOptions.safetyMargin()))) {
            clear(now);
            mPending = null;
        }
    }

    private void held(StoreLeaseResult.Held held, Pending pending, Instant now) {
        if (pending.kind() == Kind.REVOKE) {
            mNextRequestAt = now.plus(mOptions.retryDelay());
            return;
        }
        Duration timeToLive = shorter(held.timeToLive(), mOptions.timeToLive());
        mLease = held.lease();
        mHeldUntil = pending.sentAt().plus(timeToLive).minus(mOptions.safetyMargin());
        mNextRequestAt = mStopping ? now : pending.sentAt().plus(mOptions.renewalPeriod());
    }

    private void clear(Instant now) {
        mLease = null;
        mHeldUntil = Instant.MIN;
        mNextRequestAt = now;
    }

    private void dropOverduePending(Instant now) {
        Pending pending = mPending;
        if (pending == null) {
            return;
        }
        if (!now.isBefore(pending.sentAt().plus(mOptions.operationTimeout()))) {
            mPending = null;
            mNextRequestAt = now;
        }
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }
}
