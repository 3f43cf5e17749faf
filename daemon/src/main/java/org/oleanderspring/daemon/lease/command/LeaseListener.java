package org.oleanderspring.daemon.lease.command;

import org.oleanderspring.core.fleet.CellName;

/** Receives changes of held leases, on the lease thread. */
public interface LeaseListener {
    /**
     * Called when this daemon acquired the lease of a cell.
     *
     * @param cell the cell
     */
    void acquired(CellName cell);

    /**
     * Called when this daemon no longer holds the lease of a cell.
     *
     * @param cell the cell
     */
    void lost(CellName cell);
}
