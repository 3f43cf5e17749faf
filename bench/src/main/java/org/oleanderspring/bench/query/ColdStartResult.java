package org.oleanderspring.bench.query;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * What callers and accelerators experienced under one policy.
 *
 * @param policy the policy
 * @param offered the calls offered
 * @param useful the calls whose answer began before their deadline
 * @param cold the calls that found no ready replica
 * @param coldWait the wait of answered cold calls
 * @param allWait the wait of all calls; a refused call counts with its whole patience
 * @param refused the refused calls by reason
 * @param storeLoads the model loads from the weight store
 * @param idleHours accelerator hours of loaded models without a call
 */
public record ColdStartResult(
        String policy,
        long offered,
        long useful,
        long cold,
        WaitPercentiles coldWait,
        WaitPercentiles allWait,
        Map<String, Long> refused,
        long storeLoads,
        double idleHours) {
    /** Copies the map. */
    public ColdStartResult {
        Objects.requireNonNull(policy, "policy");
        Objects.requireNonNull(coldWait, "coldWait");
        Objects.requireNonNull(allWait, "allWait");
        refused = Map.copyOf(new TreeMap<>(refused));
    }

    /** Returns the calls refused for a reason, in percent of those offered. */
    public double refusedPercent(String reason) {
        return 100.0 * refused.getOrDefault(reason, 0L) / offered;
    }

    /** Returns whether p95 and p99 of the wait and the idle hours are all worse than another's. */
    public boolean isWorseOnBoth(ColdStartResult other) {
        boolean hasLongerTail =
                allWait.p95() > other.allWait.p95() && allWait.p99() > other.allWait.p99();
        return hasLongerTail && idleHours > other.idleHours;
    }
}
