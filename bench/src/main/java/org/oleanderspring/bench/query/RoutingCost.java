package org.oleanderspring.bench.query;

/**
 * The cost of routing decisions for one fleet.
 *
 * @param decisionsPerSecond decisions per second of CPU time, the median of several rounds
 * @param bytesPerDecision bytes allocated per decision in the last round, those for the events
 *     included
 * @param tableChangeMicros the mean CPU time to apply a changed routing table, in microseconds
 * @param sharedTableChangeMicros the same when the replica lists of unchanged targets are the same
 *     objects
 * @param heapMegabytes the heap that the decider, its open calls and its routing table use, in
 *     units of 2^20 bytes
 */
public record RoutingCost(
        double decisionsPerSecond,
        double bytesPerDecision,
        double tableChangeMicros,
        double sharedTableChangeMicros,
        double heapMegabytes) {}
