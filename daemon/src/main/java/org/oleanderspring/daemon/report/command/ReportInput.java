package org.oleanderspring.daemon.report.command;

import java.util.List;
import java.util.Set;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.port.query.Reading;

/** What the ring of the report duty holds. */
public sealed interface ReportInput {
    /** Time has passed. */
    record Tick() implements ReportInput {}

    /**
     * The VM list was read.
     *
     * @param reading the list, or why it could not be read
     */
    record VmsRead(Reading<VmList> reading) implements ReportInput {}

    /**
     * The catalogue was read.
     *
     * @param reading the checkpoints, or why they could not be read
     */
    record CatalogueRead(Reading<List<Checkpoint>> reading) implements ReportInput {}

    /**
     * A runner was asked for its report.
     *
     * @param runner the runner
     * @param reading the report, or why it could not be read
     */
    record RunnerRead(EndpointId runner, Reading<RunnerReport> reading) implements ReportInput {}

    /**
     * The daemon holds the leases of these cells, whose runners it has to ask.
     *
     * @param cells the cells
     */
    record CellsHeld(Set<CellName> cells) implements ReportInput {
        /** Copies the set. */
        public CellsHeld {
            cells = Set.copyOf(cells);
        }
    }
}
