package org.oleanderspring.daemon.wiring.command;

import java.util.Set;
import java.util.TreeSet;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.daemon.lease.command.LeaseListener;
import org.oleanderspring.daemon.placement.command.PlacementInput;
import org.oleanderspring.daemon.report.command.ReportInput;

/**
 * Forwards changes of the held leases to the placement and report duties. Confined to the lease
 * thread.
 *
 * <p>The sinks of {@link Rings} repeat an offer while the ring is full, so no change is lost while
 * the duty runs; a repeated change may arrive after a later one.
 */
public final class LeaseFanOut implements LeaseListener {
    private final Rings mRings;
    private final Set<CellName> mHeld = new TreeSet<>();

    /**
     * Starts without held leases.
     *
     * @param rings the rings of the duties
     */
    public LeaseFanOut(Rings rings) {
        mRings = rings;
    }

    @Override
    public void acquired(CellName cell) {
        mHeld.add(cell);
        mRings.placement().offer(new PlacementInput.LeaseAcquired(cell));
        mRings.report().offer(new ReportInput.HeldCellsChanged(mHeld));
    }

    @Override
    public void lost(CellName cell) {
        mHeld.remove(cell);
        mRings.placement().offer(new PlacementInput.LeaseLost(cell));
        mRings.report().offer(new ReportInput.HeldCellsChanged(mHeld));
    }
}
