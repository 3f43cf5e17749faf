package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.OrderKind;
import org.oleanderspring.core.placement.OrderResult;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.RunnerOrder;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotState;

/**
 * Sends the orders of slots that are in the written plan, and processes the replies.
 *
 * <p>{@link DefaultPlacementDecider} explains why an order must not be sent before its slot is in
 * the written plan. An order whose slot has changed in the meantime is not sent. A slot is reverted
 * only if the runner will certainly not execute its order; after an exchange without a known
 * result, reports show the final effect only after the settle time.
 */
final class OrderDispatcher {
    /** The sender discards an order that it could not send within this time. */
    private static final Duration VALIDITY = Duration.ofSeconds(10);

    private final CellState mState;
    private final TreeMap<SlotKey, Slot> mSendable = new TreeMap<>();
    private final Map<OrderId, SlotKey> mSent = new HashMap<>();

    OrderDispatcher(CellState state) {
        mState = state;
    }

    /** Discards the orders of an earlier term. */
    void reset() {
        mSendable.clear();
        mSent.clear();
    }

    /** Permits the sending of the orders whose slots are in the written plan. */
    void planWritten(Plan plan) {
        List<Slot> unsent = mState.takeUnsent();
        if (unsent.isEmpty()) {
            return;
        }
        Set<OrderId> written = new HashSet<>();
        plan.slots().forEach(slot -> written.add(slot.order().id()));
        for (Slot slot : unsent) {
            if (written.contains(slot.order().id())) {
                mSendable.put(slot.key(), slot);
            }
        }
    }

    /** Sends the orders that {@link #planWritten} permitted and whose slots have not changed. */
    void send(Instant now, List<PlacementDecision> decisions) {
        for (Slot slot : mSendable.values()) {
            send(slot, now, decisions);
        }
        mSendable.clear();
    }

    private void send(Slot slot, Instant now, List<PlacementDecision> decisions) {
        if (slot.state() == SlotState.LOADING) {
            mState.admission().loadStarted(slot, now);
        }
        Slot current = mState.slots().get(slot.key());
        Endpoint runner = mState.fleet().runner(slot.key().runner());
        if (current == null || !slot.equals(current)) {
            return;
        }
        if (runner == null) {
            answered(current, new OrderResult.NotSent("runner is not in the VM list"), now);
            return;
        }
        mSent.put(slot.order().id(), slot.key());
        decisions.add(new PlacementDecision.SendOrder(runner, order(slot, now), reason(slot)));
    }

    private RunnerOrder order(Slot slot, Instant now) {
        return new RunnerOrder(
                slot.order().id(),
                slot.key().runner(),
                kindOf(slot),
                slot.key().name(),
                slot.checkpoint().version(),
                mState.term(),
                now.plus(VALIDITY));
    }

    private static OrderKind kindOf(Slot slot) {
        boolean isLoad = slot.state() == SlotState.LOADING;
        if (slot.checkpoint().isAdapter()) {
            return isLoad ? OrderKind.LOAD_ADAPTER : OrderKind.UNLOAD_ADAPTER;
        }
        return isLoad ? OrderKind.LOAD_MODEL : OrderKind.UNLOAD_MODEL;
    }

    private static String reason(Slot slot) {
        return slot.state() == SlotState.LOADING
                ? slot.reason() + " from " + slot.source()
                : "drained";
    }

    /** Processes the end of an order's exchange with the runner. */
    void answered(OrderId order, OrderResult result, Instant now) {
        SlotKey key = mSent.remove(order);
        Slot slot = key == null ? null : mState.slots().get(key);
        if (slot != null && slot.order().id().equals(order) && isOutstanding(slot)) {
            answered(slot, result, now);
        }
    }

    private static boolean isOutstanding(@Nullable Slot slot) {
        return slot != null
                && (slot.state() == SlotState.LOADING || slot.state() == SlotState.UNLOADING);
    }

    private void answered(Slot slot, OrderResult result, Instant now) {
        if (result instanceof OrderResult.Accepted) {
            mState.outcomes().exchangeEnded(slot.order().id(), now);
        } else if (result instanceof OrderResult.Unknown) {
            Instant settled = now.plus(mState.limits().orderSettleTime());
            mState.outcomes().exchangeEnded(slot.order().id(), settled);
        } else {
            revert(slot, now);
        }
    }

    /** Reverts the slot of an order that the runner will certainly not execute. */
    private void revert(Slot slot, Instant now) {
        mState.backOff().failed(slot.key(), now);
        if (slot.state() == SlotState.LOADING) {
            mState.release(slot, now);
        } else {
            mState.put(slot.withState(SlotState.DRAINING, now));
        }
    }
}
