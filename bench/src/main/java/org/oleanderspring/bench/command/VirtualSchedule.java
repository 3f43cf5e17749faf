package org.oleanderspring.bench.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A virtual clock that runs steps in the order of their times; equal times keep their order. */
final class VirtualSchedule {
    private record Step(Instant at, long number, Runnable work) {}

    private final PriorityQueue<Step> mSteps =
            new PriorityQueue<>(Comparator.comparing(Step::at).thenComparingLong(Step::number));
    private Instant mNow = Instant.EPOCH;
    private long mNumber;

    Instant now() {
        return mNow;
    }

    void after(Duration delay, Runnable work) {
        mSteps.add(new Step(mNow.plus(delay), mNumber++, work));
    }

    /** Runs all steps up to a time, those included that are added on the way. */
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
