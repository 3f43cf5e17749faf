package org.oleanderspring.core.port.query;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.runner.RunnerState;

/** Asks runners for their state. */
public interface RunnerStateQueries {
    /**
     * Reads the state of a runner.
     *
     * @param address where the runner listens
     * @return the state; never completes exceptionally
     */
    CompletableFuture<Reading<RunnerState>> read(Address address);
}
