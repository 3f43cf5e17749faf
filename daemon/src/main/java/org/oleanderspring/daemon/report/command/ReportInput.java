package org.oleanderspring.daemon.report.command;

import java.util.List;
import java.util.Set;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.port.query.FetchResult;

/** The events in the ring of the report duty. */
public sealed interface ReportInput {
    /** A periodic timer tick. */
    record Tick() implements ReportInput {}

    /**
     * A read of the VM list ended.
     *
     * @param result the list, or why it could not be read
     */
    record VmsRead(FetchResult<VmList> result) implements ReportInput {}

    /**
     * A read of the catalogue ended.
     *
     * @param result the checkpoints, or why they could not be read
     */
    record CatalogueRead(FetchResult<List<Checkpoint>> result) implements ReportInput {}

    /**
     * A read of a runner's report ended.
     *
     * @param runner the runner
     * @param result the report, or why it could not be read
     */
    record RunnerRead(EndpointId runner, FetchResult<RunnerReport> result) implements ReportInput {}

    /**
     * The set of cells whose leases this daemon holds changed; only their runners are polled.
     *
     * @param cells all held cells
     */
    record HeldCellsChanged(Set<CellName> cells) implements ReportInput {
        /** Copies the set. */
        public HeldCellsChanged {
            cells = Set.copyOf(cells);
        }
    }
}
