package org.oleanderspring.bench.query;

import java.util.Map;
import java.util.TreeMap;

/**
 * What became of the calls of one simulation run.
 *
 * @param offered calls that callers wanted answered, each counted once
 * @param useful calls whose answer began within their deadline and was complete
 * @param extraAttempts calls that were sent again by callers or started again by the daemon
 * @param wastedMillis time that replicas spent on attempts without a useful answer
 * @param busyMillis time that replicas spent on all attempts
 * @param refusalMillis the mean time from the first sending of a call to its final refusal
 * @param refusals final refusals by reason
 */
public record OverloadResult(
        long offered,
        long useful,
        long extraAttempts,
        double wastedMillis,
        double busyMillis,
        double refusalMillis,
        Map<String, Long> refusals) {
    private static final double PERCENT = 100;

    /** Copies the map. */
    public OverloadResult {
        refusals = new TreeMap<>(refusals);
    }

    /** Returns the useful answers in percent of the offered calls. */
    public double usefulPercent() {
        return PERCENT * useful / offered;
    }

    /** Returns the extra attempts for each hundred offered calls. */
    public double extraPercent() {
        return PERCENT * extraAttempts / offered;
    }

    /** Returns the wasted time in percent of the time that replicas were busy. */
    public double wastedPercent() {
        return busyMillis == 0 ? 0 : PERCENT * wastedMillis / busyMillis;
    }

    /**
     * Returns the refusals for one reason in percent of the offered calls.
     *
     * @param reason the name of the reason
     */
    public double refusedPercent(String reason) {
        return PERCENT * refusals.getOrDefault(reason, 0L) / offered;
    }
}
