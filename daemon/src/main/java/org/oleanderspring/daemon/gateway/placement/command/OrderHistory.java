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
 * The time of the last order to each runner, from this daemon or from the previous holder of the
 * placement lease.
 *
 * <p>The pause is the minimum time between orders from two lease holders to the same runner. A
 * daemon that releases the placement lease hands over how long ago it sent the last order to each
 * runner. Then the next holder has to delay orders to these runners only, each no longer than
 * necessary. The history is handed over only when all orders have a reply, because an order without
 * one may still arrive. Times are handed over as ages, because the clocks of two VMs differ. The
 * time that the handover takes makes the true age greater than the stated one, which is the safe
 * direction.
 */
final class OrderHistory {
    private final Duration mPause;

    /** The time of the last order to each runner, whoever sent it. */
    private final Map<EndpointId, Instant> mLastOrders = new HashMap<>();

    /** The times of the last orders that the previous holder handed over. */
    private final Map<EndpointId, Instant> mLastOrdersOfPreviousHolder = new HashMap<>();

    private final Set<Long> mUnansweredOrders = new HashSet<>();

    /** No runner may receive an order before this time. */
    private Instant mEarliestOrder = Instant.MIN;

    /**
     * The end of the pause since the last {@link ResidencyOrderReply#UNKNOWN} reply; until then,
     * the order may still arrive.
     */
    private Instant mNoHandoverUntil = Instant.MIN;

    /**
     * Creates a history without orders.
     *
     * @param pause the least time between orders from two daemons to one runner
     */
    OrderHistory(Duration pause) {
        mPause = pause;
    }

    /**
     * Starts a tenure, the time in which this daemon holds the placement lease. The orders of
     * earlier tenures are dropped; they are older than the pause or covered by the handover.
     *
     * @param handover the encoded order ages from the previous holder, or null
     * @param lastOrder the latest time at which the previous holder may have sent an order; used if
     *     the handover is missing or malformed
     * @param now the current time
     */
    void begin(@Nullable String handover, Instant lastOrder, Instant now) {
        mLastOrders.clear();
        mLastOrdersOfPreviousHolder.clear();
        mUnansweredOrders.clear();
        mNoHandoverUntil = Instant.MIN;
        Optional<OrderAges> ages = handover == null ? Optional.empty() : OrderAges.decode(handover);
        if (ages.isEmpty()) {
            mEarliestOrder = lastOrder.plus(mPause);
            return;
        }
        mEarliestOrder = now.minus(ages.get().unlistedAge()).plus(mPause);
        ages.get()
                .runners()
                .forEach((runner, age) -> mLastOrdersOfPreviousHolder.put(runner, now.minus(age)));
        mLastOrders.putAll(mLastOrdersOfPreviousHolder);
    }

    /** Returns the time before which no runner may receive an order; not before the given time. */
    Instant ordersFrom(Instant now) {
        return mEarliestOrder.isAfter(now) ? mEarliestOrder : now;
    }

    /**
     * Returns the runners to which no order may be sent yet because of an order of the previous
     * holder, each with its earliest time.
     */
    Map<EndpointId, Instant> deferredRunners(Instant now) {
        Map<EndpointId, Instant> deferred = new HashMap<>();
        mLastOrdersOfPreviousHolder.forEach(
                (runner, lastOrder) -> {
                    Instant from = lastOrder.plus(mPause);
                    if (from.isAfter(now)) {
                        deferred.put(runner, from);
                    }
                });
        return deferred;
    }

    void orderSent(ResidencyOrder order, Instant now) {
        mLastOrders.put(order.runner(), now);
        mUnansweredOrders.add(order.number());
    }

    void orderReplied(ResidencyEvent.OrderReplied replied, Instant now) {
        boolean wasSent = mUnansweredOrders.remove(replied.order());
        if (wasSent && replied.reply() == ResidencyOrderReply.UNKNOWN) {
            mNoHandoverUntil = now.plus(mPause);
        }
    }

    /**
     * Returns the handover to the next holder; empty while an order may still arrive.
     *
     * @param now the current time; may be before the time of an order, if the time of day was set
     *     forward before it. Its age is then zero
     */
    Optional<String> handover(Instant now) {
        if (!mUnansweredOrders.isEmpty() || now.isBefore(mNoHandoverUntil)) {
            return Optional.empty();
        }
        Map<EndpointId, Duration> ages = new HashMap<>();
        mLastOrders.forEach(
                (runner, lastOrder) -> {
                    Duration age = Duration.between(lastOrder, now);
                    if (age.compareTo(mPause) < 0) {
                        ages.put(runner, age.isNegative() ? Duration.ZERO : age);
                    }
                });
        Duration unlistedAge =
                mEarliestOrder.isAfter(now)
                        ? longer(Duration.ZERO, mPause.minus(Duration.between(now, mEarliestOrder)))
                        : mPause;
        return Optional.of(new OrderAges(unlistedAge, ages).encode());
    }

    private static Duration longer(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }
}
