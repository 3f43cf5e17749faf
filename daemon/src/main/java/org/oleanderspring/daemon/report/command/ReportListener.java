package org.oleanderspring.daemon.report.command;

import java.util.List;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.VmList;

/** Receives the result of each successful read, on the report thread. */
public interface ReportListener {
    /**
     * Called after each successful read of the VM list.
     *
     * @param vms the list
     */
    void vmsListed(VmList vms);

    /**
     * Called after each successful read of the catalogue.
     *
     * @param checkpoints all models and adapters
     */
    void catalogueListed(List<Checkpoint> checkpoints);

    /**
     * Called after each successful read of a runner's report.
     *
     * @param report the report
     */
    void runnerReported(RunnerReport report);
}
