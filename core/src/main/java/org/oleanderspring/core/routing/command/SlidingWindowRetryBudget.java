package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.Target;

/**
 * Bounds the retries to each service in every window of time by a share of the first attempts in
 * that window and a fixed number besides.
 *
 * <p>The windows of the bound slide. Time is divided into slices of a tenth of a window. A retry is
 * counted for eleven slices, its own included, so no window contains a retry that is no longer
 * counted. First attempts are counted for the nine full slices before the present one and the
 * present one, so none is counted that lies outside of a window that ends now.
 */
public final class SlidingWindowRetryBudget implements RetryBudget {
    private static final int SLICES_PER_WINDOW = 10;
    private static final int COUNTERS = SLICES_PER_WINDOW + 1;
    private static final int PERCENT = 100;

    private final Map<ServiceName, Slices> mServices = new HashMap<>();
    private int mRetriesLeft;

    /** Creates an allowance with empty windows. */
    public SlidingWindowRetryBudget() {}

    @Override
    public void firstAttempt(Target target, RoutingLimits limits, Instant now) {
        Slices slices = slices(target, limits, now);
        slices.mFirst[slices.index()]++;
        mRetriesLeft = left(slices, limits);
    }

    @Override
    public boolean takeRetry(Target target, RoutingLimits limits, Instant now) {
        Slices slices = slices(target, limits, now);
        mRetriesLeft = left(slices, limits);
        if (mRetriesLeft < 1) {
            return false;
        }
        slices.mRetries[slices.index()]++;
        mRetriesLeft--;
        return true;
    }

    @Override
    public int retriesLeft() {
        return mRetriesLeft;
    }

    private Slices slices(Target target, RoutingLimits limits, Instant now) {
        Slices slices = mServices.computeIfAbsent(serviceOf(target), name -> new Slices());
        slices.moveTo(now, limits.retryWindow().dividedBy(SLICES_PER_WINDOW));
        return slices;
    }

    private static ServiceName serviceOf(Target target) {
        if (target instanceof Target.ServiceTarget service) {
            return service.service();
        }
        if (target instanceof Target.ServiceModelTarget served) {
            return served.service();
        }
        return new ServiceName("");
    }

    private static int left(Slices slices, RoutingLimits limits) {
        long allowed =
                (long) slices.firstAttempts() * limits.retryBudgetPercent() / PERCENT
                        + limits.extraRetries();
        return (int) Math.max(0, allowed - slices.retries());
    }

    /** Counters of the latest slices, used in turn. */
    private static final class Slices {
        private final int[] mFirst = new int[COUNTERS];
        private final int[] mRetries = new int[COUNTERS];
        private long mNumber = Long.MIN_VALUE;

        void moveTo(Instant now, Duration slice) {
            long number = now.toEpochMilli() / Math.max(1, slice.toMillis());
            if (number <= mNumber) {
                return;
            }
            long first = mNumber == Long.MIN_VALUE ? number - COUNTERS : mNumber;
            for (long next = Math.max(first + 1, number - COUNTERS + 1); next <= number; next++) {
                int index = (int) Math.floorMod(next, (long) COUNTERS);
                mFirst[index] = 0;
                mRetries[index] = 0;
            }
            mNumber = number;
        }

        int index() {
            return (int) Math.floorMod(mNumber, (long) COUNTERS);
        }

        int firstAttempts() {
            int oldest = (int) Math.floorMod(mNumber + 1, (long) COUNTERS);
            return sum(mFirst) - mFirst[oldest];
        }

        int retries() {
            return sum(mRetries);
        }

        private static int sum(int[] counts) {
            int sum = 0;
            for (int count : counts) {
                sum += count;
            }
            return sum;
        }
    }
}
