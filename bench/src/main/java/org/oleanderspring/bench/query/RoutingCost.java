package org.oleanderspring.bench.query;

/**
 * What routing costs at one size.
 *
 * @param decisionsPerSecond decisions of one thread in a second, the median of several rounds
 * @param bytesPerDecision bytes allocated for each decision, the events included
 * @param tableMicros the time to take over a changed table
 * @param tableBytes bytes allocated to take over a changed table
 * @param stateMegabytes the memory that the decider holds, the table included
 */
public record RoutingCost(
        double decisionsPerSecond,
        double bytesPerDecision,
        double tableMicros,
        double tableBytes,
        double stateMegabytes) {}
