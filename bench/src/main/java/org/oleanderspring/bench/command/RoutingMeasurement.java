package org.oleanderspring.bench.command;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.function.Supplier;
import org.oleanderspring.bench.query.RoutingCost;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.command.EndpointSelector;

/**
 * Measures one routing decider on the calling thread. Times are CPU times of the thread, which
 * other processes on the machine affect less than elapsed times.
 */
final class RoutingMeasurement {
    private static final int ROUNDS = 7;
    private static final int TABLE_CHANGES = 20;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;

    private final ThreadMXBean mThreads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final int mStepsPerRound;

    RoutingMeasurement(int steps) {
        mStepsPerRound = steps;
    }

    /**
     * Measures one fleet. The decision rate is the median of all rounds; the allocated bytes are
     * those of the last round.
     *
     * @param selector creates the endpoint selector
     * @param fleet the runners, models and adapters
     * @param openCalls the number of calls that stay open during the measurement
     */
    RoutingCost measure(Supplier<EndpointSelector> selector, RoutingFleet fleet, int openCalls) {
        long memoryBefore = usedMemory();
        RoutingTable fullTable = fleet.table();
        // The queue limit is never reached. It is half of the maximum because admission control
        // adds the capacity of a target to it, which must not overflow.
        RoutingWorkload workload =
                new RoutingWorkload(selector.get(), fullTable, Integer.MAX_VALUE / 2);
        workload.openCalls(openCalls);
        double megabytes = (usedMemory() - memoryBefore) / BYTES_PER_MEGABYTE;
        // This run is a warm-up and is not measured.
        workload.run(mStepsPerRound);
        double[] decisionRates = new double[ROUNDS];
        double bytes = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long decisionsBefore = workload.decisions();
            long bytesBefore = allocatedBytes();
            long nanosBefore = cpuNanos();
            workload.run(mStepsPerRound);
            long nanos = cpuNanos() - nanosBefore;
            long allocated = allocatedBytes() - bytesBefore;
            long decisions = workload.decisions() - decisionsBefore;
            decisionRates[round] = decisions * NANOS_PER_SECOND / nanos;
            bytes = (double) allocated / decisions;
        }
        Arrays.sort(decisionRates);
        return new RoutingCost(
                decisionRates[ROUNDS / 2],
                bytes,
                tableChangeMicros(workload, fullTable, fleet.withoutLastRunner(fullTable, false)),
                tableChangeMicros(workload, fullTable, fleet.withoutLastRunner(fullTable, true)),
                megabytes);
    }

    /**
     * Returns the mean CPU time to apply a table, in microseconds, alternating between two tables.
     * The first half of the changes is a warm-up.
     */
    private double tableChangeMicros(
            RoutingWorkload workload, RoutingTable fullTable, RoutingTable reducedTable) {
        double nanos = 0;
        for (int i = 0; i < 2 * TABLE_CHANGES; i++) {
            long nanosBefore = cpuNanos();
            workload.changeTable(i % 2 == 0 ? reducedTable : fullTable);
            nanos += i < TABLE_CHANGES ? 0 : cpuNanos() - nanosBefore;
        }
        return nanos / NANOS_PER_MICRO / TABLE_CHANGES;
    }

    private long cpuNanos() {
        return mThreads.getCurrentThreadCpuTime();
    }

    private long allocatedBytes() {
        return mThreads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    private static long usedMemory() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
