package org.oleanderspring.bench.query;

/**
 * What routing costs at one size.
 *
 * @param decisionsPerSecond decisions in a second of CPU time, the median of several rounds
 * @param bytesPerDecision bytes allocated for each decision, the events included
 * @param tableMicros the CPU time to take over a changed table
 * @param sharedTableMicros the same if the lists of unchanged targets are the same objects
 * @param stateMegabytes the memory that the decider holds, the table included
 */
public record RoutingCost(
        double decisionsPerSecond,
        double bytesPerDecision,
        double tableMicros,
        double sharedTableMicros,
        double stateMegabytes) {}
