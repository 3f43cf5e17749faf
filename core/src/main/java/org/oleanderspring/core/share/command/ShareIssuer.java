package org.oleanderspring.core.share.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.share.IssuerRole;
import org.oleanderspring.core.share.RateKey;
import org.oleanderspring.core.share.ShareBounds;
import org.oleanderspring.core.share.ShareGrant;
import org.oleanderspring.core.share.ShareRequest;
import org.oleanderspring.core.share.SharedRate;

/**
 * Issues the parts of shared rates for which this daemon is the first or the second issuer.
 *
 * <p>Two daemons that issue the same rate must not issue more than it together, although neither
 * can tell whether the other one has failed or only cannot be reached. So the first one issues the
 * whole rate only while the second one has confirmed, less than {@link #CONFIRMATION} ago, that it
 * issues nothing for that time. Without a confirmation both issue half of it. The first one counts
 * the time from its question and the second one from its receipt, so the promise ends last. The
 * second one confirms only a daemon that it ranks first as well, so two daemons that both rank
 * themselves first by different views of the members are not both confirmed by the same one.
 *
 * <p>An issuer without a current view of the members stops, since others may have been ranked in
 * its place. One that has just been given a rate starts without any burst, since it does not know
 * what was issued before, and waits {@link #SETTLING} unless it is confirmed.
 *
 * <p>Besides the level of the token bucket, the issued units of a whole window are counted, so that
 * units that are returned late are not issued again on top of those of the present window. Used by
 * one thread; the clock must also advance while the VM is suspended.
 */
public final class ShareIssuer {
    /** How long a confirmation holds; several times the interval between two of them. */
    public static final Duration CONFIRMATION = Duration.ofSeconds(1);

    /** The interval between two questions for a confirmation; two in a row may be lost. */
    public static final Duration CONFIRMATION_INTERVAL = Duration.ofMillis(250);

    /** Longer than it takes until all daemons in touch know a change of the members. */
    public static final Duration SETTLING = Duration.ofSeconds(2);

    /** How long an issuer goes on without a view of the members; less than its lease lasts. */
    public static final Duration CONTACT_LIMIT = Duration.ofSeconds(1);

    /** A longer time between two events shows that the VM was suspended. */
    private static final Duration SUSPENSION = Duration.ofSeconds(1);

    private static final double UNCONFIRMED_SHARE = 0.5;

    /** The part of the slack that may be issued at once; the rest covers differing views. */
    private static final double SLACK_SHARE = 0.25;

    /** The shortest burst, so that calls that arrive close together are served. */
    private static final double MINIMUM_BURST_SECONDS = 0.25;

    /** Calls to come get units only from the upper part of the bucket. */
    private static final double RESERVE_FLOOR = 0.25;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Not zero, which means that all calls were served. */
    private static final Duration SHORTEST_WAIT = Duration.ofMillis(1);

    private static final Duration LONGEST_WAIT = Duration.ofMinutes(1);

    private final Map<RateKey, Bucket> mBuckets = new HashMap<>();
    private final ShareBounds mBounds;
    private @Nullable Instant mLostContactAt;
    private Instant mLastEvent = Instant.MIN;

    /**
     * A rate that this daemon issues.
     *
     * @param rate the rate
     * @param role the role of this daemon
     */
    public record Assignment(SharedRate rate, IssuerRole role) {}

    private static final class Bucket {
        private Assignment mAssignment;
        private Instant mSettledAt;
        private Instant mAccruedAt;
        private double mLevel;
        private Instant mConfirmedUntil = Instant.MIN;
        private Instant mPromisedUntil = Instant.MIN;
        private Instant mAskedAt = Instant.MIN;
        private final IssuedUnits mIssued;

        Bucket(Assignment assignment, Instant now, Duration window) {
            mAssignment = assignment;
            mSettledAt = now.plus(SETTLING);
            mAccruedAt = now;
            mIssued = new IssuedUnits(window);
        }
    }

    /**
     * Creates an issuer of no rates.
     *
     * @param bounds how exactly the rates have to be kept
     */
    public ShareIssuer(ShareBounds bounds) {
        mBounds = bounds;
    }

    /**
     * Replaces the rates that this daemon issues. A rate that it has issued so far keeps its state.
     *
     * @param assignments the rates
     * @param now the current time
     */
    public void assign(Map<RateKey, Assignment> assignments, Instant now) {
        advance(now);
        mBuckets.keySet().retainAll(assignments.keySet());
        assignments.forEach(
                (key, assignment) -> {
                    Duration counted = mBounds.window().plus(ShareHolder.VALIDITY);
                    mBuckets.computeIfAbsent(key, absent -> new Bucket(assignment, now, counted));
                    Bucket bucket = mBuckets.get(key);
                    if (!bucket.mAssignment.role().equals(assignment.role())) {
                        bucket.mConfirmedUntil = Instant.MIN;
                    }
                    bucket.mAssignment = assignment;
                    bucket.mLevel = Math.min(bucket.mLevel, capacity(assignment.rate()));
                });
    }

    /**
     * Records whether the view of the members is current.
     *
     * @param inContact whether it is
     * @param now the current time
     */
    public void contactChanged(boolean inContact, Instant now) {
        advance(now);
        if (inContact) {
            mLostContactAt = null;
        } else if (mLostContactAt == null) {
            mLostContactAt = now;
        }
    }

    /**
     * Lets time pass. Called several times a second.
     *
     * @param now the current time
     */
    public void advance(Instant now) {
        boolean suspended =
                !mLastEvent.equals(Instant.MIN) && mLastEvent.plus(SUSPENSION).isBefore(now);
        mLastEvent = now;
        for (Bucket bucket : mBuckets.values()) {
            if (suspended) {
                bucket.mLevel = 0;
                bucket.mAccruedAt = now;
                bucket.mSettledAt = now.plus(SETTLING);
            }
            accrue(bucket, now);
        }
    }

    /**
     * Issues a part of a rate.
     *
     * @param request the request
     * @param now the current time
     * @return the grant, or null if this daemon may not issue the rate now
     */
    public @Nullable ShareGrant issue(ShareRequest request, Instant now) {
        advance(now);
        Bucket bucket = mBuckets.get(request.key());
        if (bucket == null || share(bucket, now) == 0) {
            return null;
        }
        takeBack(bucket, request, now);
        SharedRate rate = bucket.mAssignment.rate();
        double capacity = capacity(rate);
        double windowLimit =
                mBounds.limit(rate)
                        - mBounds.overrun() * windowUnits(rate) / 2
                        - (1 - SLACK_SHARE) * mBounds.slack();
        double free = windowLimit - bucket.mIssued.sum(now);
        double units = 0;
        double missing = 0;
        for (double cost : request.costs()) {
            double needed = units == 0 ? Math.min(cost, capacity) : units + cost;
            if (needed > bucket.mLevel || units + cost > free) {
                missing = Math.max(needed - bucket.mLevel, units + cost - free);
                break;
            }
            units += cost;
        }
        if (missing == 0) {
            double surplus = Math.min(bucket.mLevel - capacity * RESERVE_FLOOR, free) - units;
            units += Math.max(0, Math.min(request.reserve(), surplus));
        }
        bucket.mLevel -= units;
        bucket.mIssued.add(units, now);
        return new ShareGrant(request.key(), request.number(), units, timeFor(missing, rate));
    }

    private static void takeBack(Bucket bucket, ShareRequest request, Instant now) {
        if (request.returned() > 0) {
            bucket.mIssued.remove(request.returned(), now.minus(request.returnedAge()), now);
            bucket.mLevel += request.returned();
        }
    }

    private static Duration timeFor(double units, SharedRate rate) {
        if (units <= 0) {
            return Duration.ZERO;
        }
        double seconds = units / rate.perSecond();
        Duration wait = Duration.ofNanos((long) Math.min(1e15, seconds * NANOS_PER_SECOND));
        if (wait.compareTo(SHORTEST_WAIT) < 0) {
            return SHORTEST_WAIT;
        }
        return wait.compareTo(LONGEST_WAIT) < 0 ? wait : LONGEST_WAIT;
    }

    /**
     * Returns the rates for which the second issuer has to be asked for a confirmation now. They
     * count as asked for.
     *
     * @param now the current time
     */
    public List<RateKey> takeDueConfirmations(Instant now) {
        advance(now);
        List<RateKey> due = new ArrayList<>();
        mBuckets.forEach(
                (key, bucket) -> {
                    boolean isFirst = bucket.mAssignment.role() == IssuerRole.FIRST;
                    if (isFirst && !bucket.mAskedAt.plus(CONFIRMATION_INTERVAL).isAfter(now)) {
                        bucket.mAskedAt = now;
                        due.add(key);
                    }
                });
        return due;
    }

    /**
     * Promises the first issuer of a rate to issue nothing for a time.
     *
     * @param key the rate
     * @param now the current time
     * @return whether the promise was made; not if this daemon is not the second issuer
     */
    public boolean confirm(RateKey key, Instant now) {
        advance(now);
        Bucket bucket = mBuckets.get(key);
        if (bucket == null || bucket.mAssignment.role() != IssuerRole.SECOND) {
            return false;
        }
        bucket.mPromisedUntil = now.plus(CONFIRMATION);
        accrue(bucket, now);
        return true;
    }

    /**
     * Records a confirmation by the second issuer.
     *
     * @param key the rate
     * @param askedAt when it was asked for
     * @param now the current time
     */
    public void confirmed(RateKey key, Instant askedAt, Instant now) {
        advance(now);
        Bucket bucket = mBuckets.get(key);
        Instant until = askedAt.plus(CONFIRMATION);
        boolean isFirst = bucket != null && bucket.mAssignment.role() == IssuerRole.FIRST;
        if (bucket != null && isFirst && !askedAt.isAfter(now)) {
            bucket.mConfirmedUntil =
                    until.isAfter(bucket.mConfirmedUntil) ? until : bucket.mConfirmedUntil;
        }
    }

    private void accrue(Bucket bucket, Instant now) {
        double share = share(bucket, now);
        SharedRate rate = bucket.mAssignment.rate();
        double seconds = Duration.between(bucket.mAccruedAt, now).toNanos() / NANOS_PER_SECOND;
        bucket.mAccruedAt = now;
        if (share == 0) {
            bucket.mLevel = Math.min(bucket.mLevel, 0);
            return;
        }
        bucket.mLevel =
                Math.min(
                        capacity(rate),
                        bucket.mLevel + Math.max(0, seconds) * rate.perSecond() * share);
    }

    private double share(Bucket bucket, Instant now) {
        Instant lostAt = mLostContactAt;
        if (lostAt != null && lostAt.plus(CONTACT_LIMIT).isBefore(now)) {
            return 0;
        }
        boolean settled = !now.isBefore(bucket.mSettledAt);
        return switch (bucket.mAssignment.role()) {
            case ONLY -> settled ? 1 : 0;
            case FIRST -> now.isBefore(bucket.mConfirmedUntil) ? 1 : unconfirmed(settled);
            case SECOND -> now.isBefore(bucket.mPromisedUntil) ? 0 : unconfirmed(settled);
        };
    }

    private static double unconfirmed(boolean settled) {
        return settled ? UNCONFIRMED_SHARE : 0;
    }

    private double windowUnits(SharedRate rate) {
        return mBounds.window().toNanos() / NANOS_PER_SECOND * rate.perSecond();
    }

    private double capacity(SharedRate rate) {
        double burst = rate.burst() + SLACK_SHARE * mBounds.slack();
        return Math.max(1, Math.max(burst, MINIMUM_BURST_SECONDS * rate.perSecond()));
    }
}
