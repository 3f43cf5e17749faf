package org.oleanderspring.core.routing.command;

/**
 * Weighs the work at an endpoint by the pace of the endpoint.
 *
 * <p>A pace is the time that an endpoint takes, relative to the usual time of its service: 2 for an
 * endpoint that takes twice as long. The expected time of a further call grows with the calls that
 * run there, and is proportional to the pace. A nearly idle engine slows down little with each
 * call, so the time of a call alone counts as that of {@link #CALLS_AT_REST} calls.
 *
 * <p>Estimates vary although endpoints are alike. Differences up to {@link #NOISE} therefore have
 * no effect, and larger ones count from there on, without a step.
 */
final class EndpointPace {
    /** The time of a call at an idle endpoint, in calls that run there. */
    private static final int CALLS_AT_REST = 4;

    /** The logarithm of the factor within which paces count as equal. */
    private static final double NOISE = Math.log(1.15);

    /**
     * The lowest pace that is used. An endpoint that seems faster than this probably has shorter
     * prompts or a fuller cache.
     */
    private static final double LOWEST = 0.5;

    private EndpointPace() {}

    /**
     * Returns the number of calls that would load an endpoint of usual pace as much as a number of
     * calls loads this one. Equal to the number of calls if the pace is usual; negative for a fast
     * endpoint with few calls.
     *
     * @param calls the calls at the endpoint
     * @param pace the measured pace
     */
    static double equivalentCalls(int calls, double pace) {
        double significant = significant(pace);
        return significant == 1 ? calls : (calls + CALLS_AT_REST) * significant - CALLS_AT_REST;
    }

    /** Returns the pace without the part that may be noise. */
    private static double significant(double pace) {
        double deviation = Math.log(pace);
        if (Math.abs(deviation) <= NOISE) {
            return 1;
        }
        return Math.max(LOWEST, Math.exp(deviation - Math.copySign(NOISE, deviation)));
    }
}
