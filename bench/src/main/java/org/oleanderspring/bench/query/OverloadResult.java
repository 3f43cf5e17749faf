package org.oleanderspring.bench.query;

import java.util.Map;
import java.util.TreeMap;

/**
 * The outcomes of the calls of one overload run, and the time that replicas spent on them.
 *
 * @param offered calls of callers, each counted once, however often it was sent
 * @param useful calls whose answer was complete and began by the deadline
 * @param extraAttempts calls sent again by callers, plus attempts after the first one by the daemon
 * @param wastedMillis replica time spent on attempts without a useful answer
 * @param busyMillis replica time spent on all attempts
 * @param meanRefusalMillis the mean time from the first sending of a refused call to its final
 *     refusal, or 0 if no call was refused
 * @param refusals final refusals by the lower-case name of the {@code RefusalReason}
 */
public record OverloadResult(
        long offered,
        long useful,
        long extraAttempts,
        double wastedMillis,
        double busyMillis,
        double meanRefusalMillis,
        Map<String, Long> refusals) {
    private static final double PERCENT = 100;

    /** Makes a sorted copy of the map. */
    public OverloadResult {
        refusals = new TreeMap<>(refusals);
    }

    /** Returns the useful answers in percent of the offered calls. */
    public double usefulPercent() {
        return PERCENT * useful / offered;
    }

    /** Returns the extra attempts per hundred offered calls. */
    public double extraPercent() {
        return PERCENT * extraAttempts / offered;
    }

    /** Returns the wasted replica time in percent of the busy replica time, or 0 without any. */
    public double wastedPercent() {
        return busyMillis == 0 ? 0 : PERCENT * wastedMillis / busyMillis;
    }

    /**
     * Returns the refusals for one reason in percent of the offered calls.
     *
     * @param reason a key of {@link #refusals}; 0 is returned for other reasons
     */
    public double refusedPercent(String reason) {
        return PERCENT * refusals.getOrDefault(reason, 0L) / offered;
    }
}
