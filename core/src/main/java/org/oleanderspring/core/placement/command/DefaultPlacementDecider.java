package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.placement.OrderSender;

/** Decides the placement of one cell while this daemon holds it. */
public final class DefaultPlacementDecider implements PlacementDecider {
    private final CellName mCell;
    private final OrderSender mSelf;

    /**
     * Creates a decider that holds nothing yet.
     *
     * @param cell the cell
     * @param self this daemon
     */
    public DefaultPlacementDecider(CellName cell, OrderSender self) {
        mCell = Objects.requireNonNull(cell, "cell");
        mSelf = Objects.requireNonNull(self, "self");
    }

    @Override
    public List<PlacementDecision> decide(PlacementEvent event, Instant now) {
        return List.of();
    }

    @Override
    public String toString() {
        return "placement of " + mCell + " at " + mSelf.member();
    }
}
