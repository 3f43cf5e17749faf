package org.oleanderspring.bench.command;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.function.Supplier;
import org.oleanderspring.bench.query.RoutingCost;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.command.EndpointSelector;

/**
 * Measures one decider on the present thread. Times are CPU times of the thread, so that other
 * programs on the machine disturb them less.
 */
final class RoutingMeasurement {
    private static final int ROUNDS = 7;
    private static final int TABLE_CHANGES = 20;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;

    private final ThreadMXBean mThreads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final int mSteps;

    RoutingMeasurement(int steps) {
        mSteps = steps;
    }

    /**
     * Measures one size.
     *
     * @param selector the selector
     * @param fleet the fleet
     * @param open calls that are open all the time
     */
    RoutingCost measure(Supplier<EndpointSelector> selector, RoutingFleet fleet, int open) {
        long memoryBefore = usedMemory();
        RoutingTable whole = fleet.table();
        RoutingWorkload workload =
                new RoutingWorkload(selector.get(), whole, Integer.MAX_VALUE / 2);
        workload.open(open);
        double megabytes = (usedMemory() - memoryBefore) / BYTES_PER_MEGABYTE;
        workload.run(mSteps);
        double[] rates = new double[ROUNDS];
        double bytes = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long decisionsBefore = workload.decisions();
            long bytesBefore = allocated();
            long timeBefore = cpuNanos();
            workload.run(mSteps);
            long nanos = cpuNanos() - timeBefore;
            long allocated = allocated() - bytesBefore;
            long decisions = workload.decisions() - decisionsBefore;
            rates[round] = decisions * NANOS_PER_SECOND / nanos;
            bytes = (double) allocated / decisions;
        }
        Arrays.sort(rates);
        return new RoutingCost(
                rates[ROUNDS / 2],
                bytes,
                tableMicros(workload, whole, fleet.withoutLast(whole, false)),
                tableMicros(workload, whole, fleet.withoutLast(whole, true)),
                megabytes);
    }

    /** Returns the time to take over a table, alternating between two. */
    private double tableMicros(RoutingWorkload workload, RoutingTable whole, RoutingTable smaller) {
        double nanos = 0;
        for (int i = 0; i < 2 * TABLE_CHANGES; i++) {
            long before = cpuNanos();
            workload.changeTable(i % 2 == 0 ? smaller : whole);
            nanos += i < TABLE_CHANGES ? 0 : cpuNanos() - before;
        }
        return nanos / NANOS_PER_MICRO / TABLE_CHANGES;
    }

    private long cpuNanos() {
        return mThreads.getCurrentThreadCpuTime();
    }

    private long allocated() {
        return mThreads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    private static long usedMemory() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
