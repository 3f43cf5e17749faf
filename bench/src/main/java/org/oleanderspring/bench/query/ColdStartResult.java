package org.oleanderspring.bench.query;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The waits, refusals, loads and idle accelerator hours of one cold-start run.
 *
 * @param policy the name of the {@code ColdStartPolicy}
 * @param offered the calls offered
 * @param useful the calls whose answer began before their deadline
 * @param cold the calls that found no ready replica
 * @param coldWait the waits of the answered cold calls
 * @param allWait the waits of all calls; a refused call counts with its whole caller timeout
 * @param refused the number of refused calls by reason
 * @param remoteLoads the loads of models, not adapters, from the weight store
 * @param idleHours accelerator hours, by share of the memory, of loaded models without a running
 *     call
 */
public record ColdStartResult(
        String policy,
        long offered,
        long useful,
        long cold,
        WaitPercentiles coldWait,
        WaitPercentiles allWait,
        Map<String, Long> refused,
        long remoteLoads,
        double idleHours) {
    /** Copies the map. */
    public ColdStartResult {
        Objects.requireNonNull(policy, "policy");
        Objects.requireNonNull(coldWait, "coldWait");
        Objects.requireNonNull(allWait, "allWait");
        refused = Map.copyOf(new TreeMap<>(refused));
    }

    /** Returns the calls refused for a reason, in percent of the offered calls. */
    public double refusedPercent(String reason) {
        return 100.0 * refused.getOrDefault(reason, 0L) / offered;
    }

    /**
     * Returns whether p95 and p99 of all waits and the idle hours are all greater than another's.
     */
    public boolean isStrictlyDominatedBy(ColdStartResult other) {
        boolean hasLongerTail =
                allWait.p95() > other.allWait.p95() && allWait.p99() > other.allWait.p99();
        return hasLongerTail && idleHours > other.idleHours;
    }
}
