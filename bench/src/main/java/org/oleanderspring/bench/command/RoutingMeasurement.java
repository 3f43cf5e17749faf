package org.oleanderspring.bench.command;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.function.Supplier;
import org.oleanderspring.bench.query.RoutingCost;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.command.EndpointSelector;

/** Measures one decider on the present thread. */
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
        RoutingTable whole = fleet.table(-1);
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
            long timeBefore = System.nanoTime();
            workload.run(mSteps);
            long nanos = System.nanoTime() - timeBefore;
            long allocated = allocated() - bytesBefore;
            long decisions = workload.decisions() - decisionsBefore;
            rates[round] = decisions * NANOS_PER_SECOND / nanos;
            bytes = (double) allocated / decisions;
        }
        Arrays.sort(rates);
        return withTableChanges(workload, fleet, rates[ROUNDS / 2], bytes, megabytes);
    }

    /** Takes over tables in which one runner is missing in turn, as after the loss of a VM. */
    private RoutingCost withTableChanges(
            RoutingWorkload workload,
            RoutingFleet fleet,
            double rate,
            double bytes,
            double megabytes) {
        RoutingTable whole = fleet.table(-1);
        RoutingTable smaller = fleet.table(fleet.runners() - 1);
        for (int i = 0; i < TABLE_CHANGES; i++) {
            workload.changeTable(i % 2 == 0 ? smaller : whole);
        }
        long bytesBefore = allocated();
        long timeBefore = System.nanoTime();
        for (int i = 0; i < TABLE_CHANGES; i++) {
            workload.changeTable(i % 2 == 0 ? smaller : whole);
        }
        double nanos = System.nanoTime() - timeBefore;
        double tableBytes = allocated() - bytesBefore;
        return new RoutingCost(
                rate,
                bytes,
                nanos / NANOS_PER_MICRO / TABLE_CHANGES,
                tableBytes / TABLE_CHANGES,
                megabytes);
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
