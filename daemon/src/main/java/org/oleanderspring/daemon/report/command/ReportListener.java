package org.oleanderspring.daemon.report.command;

import java.util.List;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.VmList;

/** Is told of each successful read, on the report thread. */
public interface ReportListener {
    /**
     * The VM list was read.
     *
     * @param vms the list
     */
    void vmsListed(VmList vms);

    /**
     * The catalogue was read.
     *
     * @param checkpoints all models and adapters
     */
    void catalogueListed(List<Checkpoint> checkpoints);

    /**
     * A runner reported.
     *
     * @param report the report
     */
    void runnerReported(RunnerReport report);
}
