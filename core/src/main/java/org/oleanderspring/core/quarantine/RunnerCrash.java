package org.oleanderspring.core.quarantine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.fleet.EndpointId;

/**
 * The unplanned end of a runner, as one daemon observed it.
 *
 * @param runner the run of the runner's process that ended
 * @param endedAt when its connections broke
 * @param calls the calls of the daemon that the runner was beginning to answer
 */
public record RunnerCrash(EndpointId runner, Instant endedAt, List<SuspectCall> calls) {
    /** Copies the list; rejects null components. */
    public RunnerCrash {
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(endedAt, "endedAt");
        calls = List.copyOf(calls);
    }

    /**
     * Returns the same crash with other calls.
     *
     * @param others the calls
     */
    public RunnerCrash withCalls(List<SuspectCall> others) {
        return new RunnerCrash(runner, endedAt, others);
    }

    /**
     * Divides the calls among several reports of the same crash.
     *
     * @param maxCalls the number of calls in a report
     */
    public List<RunnerCrash> split(int maxCalls) {
        List<RunnerCrash> reports = new ArrayList<>();
        for (int start = 0; start < calls.size(); start += maxCalls) {
            int end = Math.min(calls.size(), start + maxCalls);
            reports.add(withCalls(calls.subList(start, end)));
        }
        return reports;
    }
}
