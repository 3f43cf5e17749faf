package org.oleanderspring.core.share.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.share.RateKey;
import org.oleanderspring.core.share.ShareGrant;
import org.oleanderspring.core.share.ShareRequest;

/**
 * One daemon's part of a shared rate: admits calls from granted units, and lets them wait for a
 * short time while a request is on its way.
 *
 * <p>Granted units may be used for {@link #VALIDITY} after they were asked for, by the clock of
 * this daemon, which must advance while the VM is suspended. So a grant that was delayed or that a
 * suspended daemon held is not used late. Units that are not used are returned with the next
 * request. A daemon with steady demand asks ahead, so that most of its calls do not wait. Used by
 * one thread.
 *
 * @param <T> identifies a waiting call
 */
public final class ShareHolder<T> {
    /** How long granted units may be used. */
    public static final Duration VALIDITY = Duration.ofMillis(400);

    /** The longest time that a call waits for a grant. */
    public static final Duration WAIT_LIMIT = Duration.ofMillis(250);

    /** After this time without a reply, the request is repeated. */
    public static final Duration REPLY_LIMIT = Duration.ofMillis(40);

    /** The least time from one request to the next if no call waits. */
    private static final Duration RESERVE_INTERVAL = Duration.ofMillis(50);

    /** For how much time ahead units are asked for. */
    private static final double RESERVE_SECONDS = 0.15;

    /** The time over which the demand is averaged. */
    private static final double AVERAGING_SECONDS = 0.5;

    /** Sums of granted units may differ from those of the costs by this much. */
    private static final double ROUNDING = 1e-6;

    private static final double NANOS_PER_SECOND = 1e9;

    private final RateKey mKey;
    private final Deque<Lot> mLots = new ArrayDeque<>();
    private final Deque<Waiting<T>> mWaiting = new ArrayDeque<>();
    private final Map<Long, Instant> mAskedAt = new HashMap<>();
    private long mLastNumber;
    private boolean mOutstanding;
    private int mUnanswered;
    private Instant mLastAskedAt = Instant.MIN;
    private double mReturned;
    private Instant mReturnedSince = Instant.MAX;
    private double mDemand;
    private double mAverageCost;
    private Instant mLastArrival = Instant.MIN;

    private static final class Lot {
        private final Instant mAskedAt;
        private double mUnits;

        Lot(double units, Instant askedAt) {
            mUnits = units;
            mAskedAt = askedAt;
        }
    }

    private record Waiting<T>(T call, double cost, Instant until) {}

    /**
     * What became of calls that waited.
     *
     * @param admitted the calls that may go on
     * @param refused the calls beyond the rate
     * @param availableIn the time after which a refused call could be admitted
     * @param <T> identifies a call
     */
    public record Outcome<T>(List<T> admitted, List<T> refused, Duration availableIn) {
        /** Copies the lists. */
        public Outcome {
            admitted = List.copyOf(admitted);
            refused = List.copyOf(refused);
        }
    }

    /**
     * Creates a daemon's part that holds nothing.
     *
     * @param key the rate
     * @param firstNumber the number before that of the first request; differs after a restart
     */
    public ShareHolder(RateKey key, long firstNumber) {
        mKey = key;
        mLastNumber = firstNumber;
    }

    /**
     * Admits a call at once if the units suffice, or lets it wait.
     *
     * @param call the call
     * @param cost the units that it needs
     * @param now the current time
     * @return whether it was admitted
     */
    public boolean admit(T call, double cost, Instant now) {
        expireLots(now);
        countDemand(cost, now);
        if (mWaiting.isEmpty() && cost <= balance() + ROUNDING) {
            use(cost);
            return true;
        }
        mWaiting.add(new Waiting<>(call, cost, now.plus(WAIT_LIMIT)));
        return false;
    }

    /**
     * Returns the request that has to be sent now, if any. It counts as sent.
     *
     * @param now the current time
     */
    public Optional<ShareRequest> takeRequest(Instant now) {
        expireLots(now);
        boolean awaitsReply = mOutstanding && mLastAskedAt.plus(REPLY_LIMIT).isAfter(now);
        double reserve = missingReserve();
        boolean isUrgent = !mWaiting.isEmpty();
        boolean isDue = !mLastAskedAt.plus(RESERVE_INTERVAL).isAfter(now);
        boolean isWanted = isDue && (reserve > 0 || mReturned > 0);
        if (awaitsReply || !(isUrgent || isWanted)) {
            return Optional.empty();
        }
        mAskedAt.values().removeIf(at -> at.plus(VALIDITY).isBefore(now));
        mUnanswered = mOutstanding ? mUnanswered + 1 : 0;
        mLastNumber++;
        mAskedAt.put(mLastNumber, now);
        mLastAskedAt = now;
        mOutstanding = true;
        Duration age = mReturned == 0 ? Duration.ZERO : Duration.between(mReturnedSince, now);
        ShareRequest request =
                new ShareRequest(mKey, mLastNumber, missingCosts(), reserve, mReturned, age);
        mReturned = 0;
        mReturnedSince = Instant.MAX;
        return Optional.of(request);
    }

    /**
     * Returns the issuer that is to be asked: the second one only now and then, while the first one
     * does not reply.
     *
     * @param request the request
     * @param issuers the first and the second issuer
     * @param <I> the type of issuer
     */
    public <I> I issuerOf(ShareRequest request, List<I> issuers) {
        boolean asksSecond = mUnanswered > 1 && request.number() % 2 == 0;
        return issuers.get(asksSecond ? issuers.size() - 1 : 0);
    }

    /**
     * Takes a grant and decides about the waiting calls. Calls that arrived after the request was
     * sent go on waiting.
     *
     * @param grant the grant
     * @param now the current time
     */
    public Outcome<T> granted(ShareGrant grant, Instant now) {
        expireLots(now);
        Instant askedAt = mAskedAt.remove(grant.number());
        if (askedAt != null && grant.units() > 0) {
            mLots.add(new Lot(grant.units(), askedAt));
            expireLots(now);
        }
        if (grant.number() == mLastNumber) {
            mOutstanding = false;
        }
        List<T> admitted = admitWaiting();
        List<T> refused = new ArrayList<>();
        boolean isShort = askedAt != null && !grant.availableIn().isZero();
        while (isShort && !mWaiting.isEmpty() && isAskedFor(mWaiting.element(), askedAt)) {
            refused.add(mWaiting.remove().call());
        }
        return new Outcome<>(admitted, refused, grant.availableIn());
    }

    private static boolean isAskedFor(Waiting<?> waiting, @Nullable Instant askedAt) {
        return askedAt != null && !waiting.until().minus(WAIT_LIMIT).isAfter(askedAt);
    }

    /**
     * Removes the calls that have waited for too long without a reply.
     *
     * @param now the current time
     */
    public List<T> expire(Instant now) {
        expireLots(now);
        List<T> expired = new ArrayList<>();
        for (Iterator<Waiting<T>> all = mWaiting.iterator(); all.hasNext(); ) {
            Waiting<T> waiting = all.next();
            if (!waiting.until().isAfter(now)) {
                all.remove();
                expired.add(waiting.call());
            }
        }
        return expired;
    }

    /**
     * Returns the units of a call that was admitted and then not sent to any endpoint.
     *
     * @param cost the units
     * @param admittedAt when it was admitted; its units may have been asked for {@link #VALIDITY}
     *     earlier
     */
    public void giveBack(double cost, Instant admittedAt) {
        putBack(cost, admittedAt.minus(VALIDITY));
    }

    private List<T> admitWaiting() {
        List<T> admitted = new ArrayList<>();
        while (!mWaiting.isEmpty() && mWaiting.element().cost() <= balance() + ROUNDING) {
            Waiting<T> waiting = mWaiting.remove();
            use(waiting.cost());
            admitted.add(waiting.call());
        }
        return admitted;
    }

    private List<Double> missingCosts() {
        List<Double> costs = new ArrayList<>();
        double balance = balance();
        for (Waiting<T> waiting : mWaiting) {
            if (costs.size() == ShareRequest.MAX_CALLS) {
                break;
            }
            double covered = Math.min(balance, waiting.cost());
            balance -= covered;
            costs.add(waiting.cost() - covered);
        }
        return costs;
    }

    /** Asks ahead only for at least one call, so that rare calls leave no units unused. */
    private double missingReserve() {
        double reserve = mDemand * RESERVE_SECONDS;
        double missing = reserve - balance();
        return reserve < mAverageCost || missing < reserve / 2 ? 0 : missing;
    }

    private void countDemand(double cost, Instant now) {
        decayDemand(now);
        mDemand += cost / AVERAGING_SECONDS;
        mAverageCost = mAverageCost == 0 ? cost : mAverageCost + (cost - mAverageCost) / 8;
    }

    private void decayDemand(Instant now) {
        if (mLastArrival.isBefore(now)) {
            double seconds =
                    mLastArrival.equals(Instant.MIN)
                            ? 0
                            : Duration.between(mLastArrival, now).toNanos() / NANOS_PER_SECOND;
            mDemand *= Math.exp(-seconds / AVERAGING_SECONDS);
            mLastArrival = now;
        }
    }

    private double balance() {
        double sum = 0;
        for (Lot lot : mLots) {
            sum += lot.mUnits;
        }
        return sum;
    }

    private void use(double cost) {
        double left = cost;
        while (left > 0 && !mLots.isEmpty()) {
            Lot lot = mLots.element();
            double used = Math.min(left, lot.mUnits);
            lot.mUnits -= used;
            left -= used;
            if (lot.mUnits <= 0) {
                mLots.remove();
            }
        }
    }

    private void expireLots(Instant now) {
        decayDemand(now);
        mLots.removeIf(
                lot -> {
                    boolean expired = !lot.mAskedAt.plus(VALIDITY).isAfter(now);
                    if (expired) {
                        putBack(lot.mUnits, lot.mAskedAt);
                    }
                    return expired;
                });
    }

    private void putBack(double units, Instant since) {
        mReturned += units;
        mReturnedSince = since.isBefore(mReturnedSince) ? since : mReturnedSince;
    }
}
