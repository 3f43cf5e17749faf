package org.oleanderspring.bench.query;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The waits, refusals, loads and idle accelerator hours of one cold-start run.
 *
 * @param policy the name of the {@code ColdStartPolicy}
 * @param offered the calls offered
 * @param useful the calls whose answer began before their deadline, which is the arrival plus the
 *     caller timeout
 * @param cold the calls that found no ready replica
 * @param coldWait the waits of the answered cold calls
 * @param allWait the waits of all calls; a refused call counts with its whole caller timeout
 * @param refused the number of refused calls by reason: {@code deadline} if the deadline passed,
 *     {@code estimate} if the model would be ready too late, or the lower-case name of an {@code
 *     UnreadyReason}
 * @param remoteLoads the loads of models, not adapters, from the weight store
 * @param idleHours accelerator hours of loading and loaded models without a running call, each
 *     counted by its share of the accelerator memory of the runner's VM
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
    /** Rejects null components and makes an immutable copy of the map. */
    public ColdStartResult {
        Objects.requireNonNull(policy, "policy");
        Objects.requireNonNull(coldWait, "coldWait");
        Objects.requireNonNull(allWait, "allWait");
        refused = Map.copyOf(new TreeMap<>(refused));
    }

    /**
     * Returns the calls refused for a reason, in percent of the offered calls; NaN if no calls were
     * offered.
     *
     * @param reason a key of {@link #refused}; 0 is returned for other reasons
     */
    public double refusedPercent(String reason) {
        return 100.0 * refused.getOrDefault(reason, 0L) / offered;
    }

    /**
     * Returns whether p95 and p99 of all waits and the idle hours are all greater than those of
     * another result.
     */
    public boolean isStrictlyDominatedBy(ColdStartResult other) {
        boolean hasLongerTail =
                allWait.p95() > other.allWait.p95() && allWait.p99() > other.allWait.p99();
        return hasLongerTail && idleHours > other.idleHours;
    }
}
