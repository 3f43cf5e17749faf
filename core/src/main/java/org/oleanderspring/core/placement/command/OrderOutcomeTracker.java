package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.OrderSender;
import org.oleanderspring.core.placement.Slot;

/**
 * Determines from which time on the reports of a runner include the final effect of an order.
 *
 * <p>For an order of the current term, this is the end of its exchange with the runner. For an
 * order of an earlier term, it is the time from which its sender can no longer send such orders,
 * because the sender acknowledged the new term or its VM no longer exists. The settle time is added
 * if the runner may have received the order without replying.
 */
final class OrderOutcomeTracker {
    private final Map<OrderId, Instant> mVisibleFrom = new HashMap<>();
    private final Map<MemberId, Instant> mAcknowledgedAt = new HashMap<>();
    private final Map<OrderSender, Instant> mSenderAbsentAt = new HashMap<>();

    /** Clears the state for a new term. */
    void reset() {
        mVisibleFrom.clear();
        mAcknowledgedAt.clear();
        mSenderAbsentAt.clear();
    }

    /** Records that reports made after {@code from} include the effect of an order. */
    void exchangeEnded(OrderId order, Instant from) {
        mVisibleFrom.put(order, from);
    }

    /** Discards an order whose outcome is no longer needed. */
    void remove(OrderId order) {
        mVisibleFrom.remove(order);
    }

    /** Records that a daemon can no longer send orders of an earlier term. */
    void acknowledged(MemberId member, Instant now) {
        mAcknowledgedAt.putIfAbsent(member, now);
    }

    /** Records that the VM of a sender no longer exists. */
    void senderAbsent(OrderSender sender, Instant now) {
        mSenderAbsentAt.putIfAbsent(sender, now);
    }

    /** Returns whether a report includes the final effect of the slot's last order. */
    boolean includesOutcome(
            RunnerReport report,
            Slot slot,
            @Nullable Endpoint runner,
            FencingToken term,
            Duration settleTime) {
        if (report.endedOrders().contains(slot.order().id().value())) {
            return true;
        }
        if (slot.state().isUnsettled() && rejectsEarlierTerms(report, runner, term)) {
            return true;
        }
        Instant from = visibleFrom(slot, settleTime);
        return from != null && report.madeAt().isAfter(from);
    }

    private static boolean rejectsEarlierTerms(
            RunnerReport report, @Nullable Endpoint runner, FencingToken term) {
        return runner != null
                && runner.checksFencingToken()
                && report.highestToken().compareTo(term) >= 0;
    }

    private @Nullable Instant visibleFrom(Slot slot, Duration settleTime) {
        Instant ended = mVisibleFrom.get(slot.order().id());
        if (ended != null || !slot.state().isUnsettled()) {
            return ended;
        }
        Instant acknowledged = mAcknowledgedAt.get(slot.order().sender().member());
        Instant absent = mSenderAbsentAt.get(slot.order().sender());
        Instant from = earlier(acknowledged, absent);
        return from == null ? null : from.plus(settleTime);
    }

    private static @Nullable Instant earlier(@Nullable Instant a, @Nullable Instant b) {
        if (a == null || b == null) {
            return a == null ? b : a;
        }
        return a.isBefore(b) ? a : b;
    }

    /**
     * Returns the senders of unsettled slots that have not acknowledged the term and whose VMs
     * still exist.
     */
    Set<MemberId> awaitedMembers(Iterable<Slot> slots) {
        Set<MemberId> awaited = new HashSet<>();
        for (Slot slot : slots) {
            OrderSender sender = slot.order().sender();
            if (slot.state().isUnsettled()
                    && !mAcknowledgedAt.containsKey(sender.member())
                    && !mSenderAbsentAt.containsKey(sender)) {
                awaited.add(sender.member());
            }
        }
        return awaited;
    }
}
