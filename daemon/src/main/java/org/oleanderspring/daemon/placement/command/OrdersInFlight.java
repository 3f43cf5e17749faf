package org.oleanderspring.daemon.placement.command;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.RunnerOrder;

/**
 * Tracks the orders that await a reply from a runner, and the term acknowledgements that are held
 * back until those orders end.
 *
 * <p>Acknowledging a term guarantees that this daemon sends no further order of an earlier term.
 * When another daemon announces a newer term, this daemon first ends its own, after which it sends
 * no order of that term. Orders are sent only on the placement thread, so it is sufficient to wait
 * for the orders in flight.
 */
final class OrdersInFlight {
    private final Map<OrderId, OrderInFlight> mOrders = new HashMap<>();
    private final List<DeferredAcknowledgement> mDeferred = new ArrayList<>();

    /** An order that awaits a reply; its term is identified by the fencing token of the order. */
    private record OrderInFlight(CellName cell, FencingToken term) {}

    /**
     * An acknowledgement that is held back until the orders of earlier terms have ended.
     *
     * @param receiver the peer address of the daemon that announced the term
     * @param cell the cell
     * @param term the fencing token of the announced term
     */
    record DeferredAcknowledgement(Address receiver, CellName cell, FencingToken term) {}

    void orderSent(CellName cell, RunnerOrder order) {
        mOrders.put(order.id(), new OrderInFlight(cell, order.token()));
    }

    /** Removes an order for which the runner's reply, or the failure to get one, is known. */
    void orderEnded(OrderId order) {
        mOrders.remove(order);
    }

    void defer(DeferredAcknowledgement acknowledgement) {
        if (!mDeferred.contains(acknowledgement)) {
            mDeferred.add(acknowledgement);
        }
    }

    /** Removes and returns the acknowledgements that no order of an earlier term holds back. */
    List<DeferredAcknowledgement> takeSendable() {
        List<DeferredAcknowledgement> sendable = new ArrayList<>();
        for (Iterator<DeferredAcknowledgement> iterator = mDeferred.iterator();
                iterator.hasNext(); ) {
            DeferredAcknowledgement acknowledgement = iterator.next();
            if (!hasEarlierOrder(acknowledgement)) {
                sendable.add(acknowledgement);
                iterator.remove();
            }
        }
        return sendable;
    }

    private boolean hasEarlierOrder(DeferredAcknowledgement acknowledgement) {
        return mOrders.values().stream()
                .anyMatch(
                        order ->
                                order.cell().equals(acknowledgement.cell())
                                        && order.term().compareTo(acknowledgement.term()) < 0);
    }
}
