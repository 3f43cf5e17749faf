package org.oleanderspring.daemon.placement.command;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.RunnerOrder;

/**
 * The orders whose exchange with a runner has not ended, and the acknowledgements that wait for
 * them.
 *
 * <p>An acknowledgement of a term promises that no order of an earlier term is sent any more.
 * Orders are sent on the placement thread alone and a term that has ended sends none, so it is
 * enough to wait for the end of the exchanges that have begun.
 */
final class OrderExchanges {
    private final Map<OrderId, Exchange> mOpen = new HashMap<>();
    private final List<WaitingAcknowledgement> mWaiting = new ArrayList<>();

    private record Exchange(CellName cell, FencingToken term) {}

    /**
     * An acknowledgement that is to be sent.
     *
     * @param receiver the peer address of the daemon that awaits it
     * @param cell the cell
     * @param term the term
     * @param member the daemon run for which it holds
     */
    record WaitingAcknowledgement(
            Address receiver, CellName cell, FencingToken term, MemberId member) {}

    void began(CellName cell, RunnerOrder order) {
        mOpen.put(order.id(), new Exchange(cell, order.token()));
    }

    void ended(OrderId order) {
        mOpen.remove(order);
    }

    void await(WaitingAcknowledgement acknowledgement) {
        if (!mWaiting.contains(acknowledgement)) {
            mWaiting.add(acknowledgement);
        }
    }

    /** Returns the acknowledgements that can be sent now, and forgets them. */
    List<WaitingAcknowledgement> takeDue() {
        List<WaitingAcknowledgement> due = new ArrayList<>();
        for (Iterator<WaitingAcknowledgement> all = mWaiting.iterator(); all.hasNext(); ) {
            WaitingAcknowledgement acknowledgement = all.next();
            if (!isEarlierOpen(acknowledgement)) {
                due.add(acknowledgement);
                all.remove();
            }
        }
        return due;
    }

    private boolean isEarlierOpen(WaitingAcknowledgement acknowledgement) {
        return mOpen.values().stream()
                .anyMatch(
                        open ->
                                open.cell().equals(acknowledgement.cell())
                                        && open.term().compareTo(acknowledgement.term()) < 0);
    }
}
