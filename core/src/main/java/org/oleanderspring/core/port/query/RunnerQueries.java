package org.oleanderspring.core.port.query;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.RunnerReport;

/** Reads state reports of runners. */
public interface RunnerQueries {
    /**
     * Requests the current report of a runner.
     *
     * @param runner the runner
     * @return the report; never completes exceptionally
     */
    CompletableFuture<FetchResult<RunnerReport>> report(Endpoint runner);
}
