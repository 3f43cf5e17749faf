package org.oleanderspring.core.port.query;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.runner.RunnerState;

/** Reads the state of registered runners. */
public interface RunnerStateQueries {
    /**
     * Requests the current state of a runner.
     *
     * @param address the address of the runner
     * @return the state; never completes exceptionally
     */
    CompletableFuture<FetchResult<RunnerState>> read(Address address);
}
