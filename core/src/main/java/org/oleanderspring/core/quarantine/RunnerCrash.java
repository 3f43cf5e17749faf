package org.oleanderspring.core.quarantine;

import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.fleet.EndpointId;

/**
 * The unplanned end of a runner, as one daemon observed it.
 *
 * @param runner the run of the runner's process that ended
 * @param calls the calls of the daemon that the runner was beginning to answer
 */
public record RunnerCrash(EndpointId runner, List<SuspectCall> calls) {
    /** Copies the list; rejects null components. */
    public RunnerCrash {
        Objects.requireNonNull(runner, "runner");
        calls = List.copyOf(calls);
    }
}
