package org.oleanderspring.daemon.gateway.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.residency.ResidencyOrderReply;
import org.oleanderspring.core.residency.command.ResidencyEvent;

/**
 * When each runner was last ordered, by this daemon or by the holder before.
 *
 * <p>Two daemons must not order one runner within the pause. A daemon that gives the placement up
 * tells the next one how long ago it ordered which runner, so that only these runners wait, and
 * each no longer than it has to. It tells so only when all its orders were replied to: an order
 * without a reply may still arrive. Times are told as ages, because the clocks of two VMs differ;
 * an age only grows on its way.
 */
final class OrderHistory {
    private final Duration mPause;
    private final Map<EndpointId, Instant> mOrdered = new HashMap<>();
    private final Set<Long> mUnanswered = new HashSet<>();
    private Instant mEarliest = Instant.MIN;
    private Instant mDoubtfulUntil = Instant.MIN;

    /**
     * Creates a history without orders.
     *
     * @param pause the least time between orders of two daemons to one runner
     */
    OrderHistory(Duration pause) {
        mPause = pause;
    }

    /**
     * Forgets the orders of earlier tenures, which are older than the pause or told by the
     * handover.
     *
     * @param handover what the holder before told, or null
     * @param lastOrder the latest time at which the holder before may have sent an order, if it
     *     told nothing
     * @param now the time
     */
    void begin(@Nullable String handover, Instant lastOrder, Instant now) {
        mOrdered.clear();
        mUnanswered.clear();
        mDoubtfulUntil = Instant.MIN;
        Optional<OrderAges> ages = handover == null ? Optional.empty() : OrderAges.decode(handover);
        if (ages.isEmpty()) {
            mEarliest = lastOrder.plus(mPause);
            return;
        }
        mEarliest = now.minus(ages.get().others()).plus(mPause);
        ages.get().runners().forEach((runner, age) -> mOrdered.put(runner, now.minus(age)));
    }

    /** Returns from when on runners that are not excepted may be ordered. */
    Instant ordersFrom(Instant now) {
        return mEarliest.isAfter(now) ? mEarliest : now;
    }

    /** Returns the runners that may be ordered only later. */
    Map<EndpointId, Instant> laterRunners(Instant now) {
        Map<EndpointId, Instant> later = new HashMap<>();
        mOrdered.forEach(
                (runner, ordered) -> {
                    Instant from = ordered.plus(mPause);
                    if (from.isAfter(now)) {
                        later.put(runner, from);
                    }
                });
        return later;
    }

    void sent(ResidencyOrder order, Instant now) {
        mOrdered.put(order.runner(), now);
        mUnanswered.add(order.number());
    }

    void replied(ResidencyEvent.OrderReplied replied, Instant now) {
        boolean wasSent = mUnanswered.remove(replied.order());
        if (wasSent && replied.reply() == ResidencyOrderReply.UNKNOWN) {
            mDoubtfulUntil = now.plus(mPause);
        }
    }

    /** Returns what the next holder is to be told; empty while an order may still arrive. */
    Optional<String> handover(Instant now) {
        if (!mUnanswered.isEmpty() || now.isBefore(mDoubtfulUntil)) {
            return Optional.empty();
        }
        Map<EndpointId, Duration> ages = new HashMap<>();
        mOrdered.forEach(
                (runner, ordered) -> {
                    Duration age = Duration.between(ordered, now);
                    if (age.compareTo(mPause) < 0) {
                        ages.put(runner, age);
                    }
                });
        Duration others =
                mEarliest.isAfter(now) ? mPause.minus(Duration.between(now, mEarliest)) : mPause;
        return Optional.of(new OrderAges(others, ages).encode());
    }
}
