package org.oleanderspring.bench.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A virtual clock that runs scheduled steps by time; steps at equal times run in order of
 * scheduling.
 */
final class VirtualScheduler {
    private record Step(Instant at, long number, Runnable work) {}

    private final PriorityQueue<Step> mSteps =
            new PriorityQueue<>(Comparator.comparing(Step::at).thenComparingLong(Step::number));
    private Instant mNow = Instant.EPOCH;
    private long mNextNumber;

    Instant now() {
        return mNow;
    }

    void schedule(Duration delay, Runnable work) {
        mSteps.add(new Step(mNow.plus(delay), mNextNumber++, work));
    }

    /**
     * Runs all steps due by a time, including those scheduled meanwhile, and sets the clock to it.
     */
    void runUntil(Instant end) {
        Step next = mSteps.peek();
        while (next != null && !next.at().isAfter(end)) {
            mSteps.remove();
            mNow = next.at();
            next.work().run();
            next = mSteps.peek();
        }
        mNow = end;
    }
}
