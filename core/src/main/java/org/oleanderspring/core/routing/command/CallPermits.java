package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.RateLimit;
import org.oleanderspring.core.fleet.StatedLimit;
import org.oleanderspring.core.permit.IssuerRank;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.permit.PermitRequest;
import org.oleanderspring.core.permit.command.PermitIssuer;

/**
 * The limit that an endpoint has named, and this daemon's permits for calls to it.
 *
 * <p>The limit ends with the first response that does not name it. Until then each call needs a
 * permit, also if the endpoint has not answered for a long time: all daemons could otherwise send
 * calls at once to find out.
 */
final class CallPermits {
    /**
     * How long a permit can be used after the time at which its call may start. A daemon that is
     * held up must not use all its permits at once.
     */
    static final Duration VALIDITY = Duration.ofSeconds(1);

    /** Time after which a request without a reply goes to the issuer of the other rank. */
    static final Duration REPLY_LIMIT = Duration.ofMillis(150);

    /**
     * How long a daemon goes on asking the issuer of the second rank, before it tries the first one
     * again.
     */
    private static final Duration SECOND_RANK_TIME = Duration.ofSeconds(1);

    /**
     * A daemon that has heard no response of the endpoint for this time does not report the limit.
     */
    private static final Duration HEARD_VALIDITY = Duration.ofSeconds(5);

    private final Deque<Instant> mStarts = new ArrayDeque<>();
    private @Nullable RateLimit mLimit;

    /** When the endpoint last named its limit to this daemon. */
    private Instant mHeardAt = Instant.MIN;

    /** When the limit last ended by a response to this daemon. */
    private Instant mEndedAt = Instant.MIN;

    /** When the pending request was sent, or null if none is pending. */
    private @Nullable Instant mRequestedAt;

    private int mRequestedCount;

    private IssuerRank mRank = IssuerRank.FIRST;
    private Instant mFirstRankFrom = Instant.MIN;

    /** When a further permit can be had, as far as known. */
    private Instant mNextStart = Instant.MIN;

    @Nullable RateLimit limit() {
        return mLimit;
    }

    boolean isLimited() {
        return mLimit != null;
    }

    /**
     * Applies what the endpoint says in a response. Returns whether the limit changed.
     *
     * @param stated what it says
     */
    boolean stated(StatedLimit stated, Instant now) {
        if (stated instanceof StatedLimit.Limited limited) {
            mHeardAt = now;
            return change(limited.limit());
        }
        if (!(stated instanceof StatedLimit.Unlimited)) {
            return false;
        }
        mEndedAt = now;
        return change(null);
    }

    /**
     * Applies a limit that the endpoint has named to another daemon, unless this daemon knows
     * better: the other one may have heard it before the limit ended.
     */
    void reported(StatedLimit stated, Instant now) {
        boolean endedLately = mEndedAt.plus(HEARD_VALIDITY).isAfter(now);
        if (mLimit == null && !endedLately && stated instanceof StatedLimit.Limited limited) {
            change(limited.limit());
        }
    }

    private boolean change(@Nullable RateLimit limit) {
        RateLimit previous = mLimit;
        mLimit = limit;
        if (limit == null) {
            mStarts.clear();
            mRequestedAt = null;
            mNextStart = Instant.MIN;
            return previous != null;
        }
        return !limit.equals(previous);
    }

    /** Returns the limit to report to others: the one that this daemon has heard lately, if any. */
    StatedLimit heard(Instant now) {
        RateLimit limit = mLimit;
        return limit == null || mHeardAt.plus(HEARD_VALIDITY).isBefore(now)
                ? new StatedLimit.Unlimited()
                : new StatedLimit.Limited(limit.callsPerSecond());
    }

    /** Returns whether a call may start now. */
    boolean allows(Instant now) {
        dropExpired(now);
        return mLimit == null || !mStarts.isEmpty() && !mStarts.peekFirst().isAfter(now);
    }

    /** Uses a permit for a call that starts. */
    void callStarted(Instant now) {
        dropExpired(now);
        mStarts.pollFirst();
    }

    private void dropExpired(Instant now) {
        while (!mStarts.isEmpty() && !mStarts.peekFirst().plus(VALIDITY).isAfter(now)) {
            mStarts.removeFirst();
        }
    }

    /** Returns the number of permits that are held or asked for. */
    int expected(Instant now) {
        dropExpired(now);
        return mStarts.size() + (isRequestPending(now) ? mRequestedCount : 0);
    }

    private boolean isRequestPending(Instant now) {
        return mRequestedAt != null && now.isBefore(mRequestedAt.plus(REPLY_LIMIT));
    }

    /** Returns whether permits may be requested now. */
    boolean mayRequest(Instant now) {
        return mLimit != null
                && !isRequestPending(now)
                && !mNextStart.isAfter(now.plus(PermitIssuer.HORIZON));
    }

    /**
     * Returns the rank of the daemon to ask, and records the request as sent.
     *
     * @param count the number of permits
     */
    PermitRequest request(EndpointState endpoint, int count, Instant now) {
        if (mRequestedAt != null) {
            // The request before got no reply.
            mRank = mRank.other();
            mFirstRankFrom = now.plus(SECOND_RANK_TIME);
        } else if (mRank == IssuerRank.SECOND && !now.isBefore(mFirstRankFrom)) {
            mRank = IssuerRank.FIRST;
        }
        mRequestedAt = now;
        mRequestedCount = count;
        RateLimit limit = mLimit;
        if (limit == null) {
            throw new IllegalStateException("no limit: " + endpoint.id());
        }
        return new PermitRequest(
                endpoint.id(), Math.min(count, PermitRequest.MAX_COUNT), limit, mRank);
    }

    /** Applies a reply. */
    void granted(PermitGrant grant, Instant now) {
        mRequestedAt = null;
        if (mLimit == null) {
            return;
        }
        grant.startsIn().forEach(startIn -> mStarts.addLast(now.plus(startIn)));
        mNextStart = now.plus(grant.nextStartIn());
    }

    /** Returns when a further call can start, as far as known; not before now. */
    Instant nextStart(Instant now) {
        if (allows(now)) {
            return now;
        }
        Instant next = mStarts.isEmpty() ? mNextStart : mStarts.peekFirst();
        return next.isAfter(now) ? next : now;
    }
}
