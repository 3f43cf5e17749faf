package org.oleanderspring.daemon.lease.command;

import org.oleanderspring.core.fleet.CellName;

/** Is told of leases, on the lease thread. */
public interface LeaseListener {
    /**
     * The daemon holds the lease of a cell.
     *
     * @param cell the cell
     */
    void acquired(CellName cell);

    /**
     * The daemon no longer holds the lease of a cell.
     *
     * @param cell the cell
     */
    void lost(CellName cell);
}
