package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.Target;

/**
 * Limits the retries to each service within a sliding window to a percentage of the first attempts
 * in that window plus a fixed number.
 *
 * <p>Time is divided into slices of a tenth of a window. A retry is counted for eleven slices,
 * including its own, so no window contains a retry that is no longer counted. A first attempt is
 * counted for ten slices, including its own, so none is counted that lies outside of a window
 * ending now.
 */
public final class SlidingWindowRetryBudget implements RetryBudget {
    private static final int SLICES_PER_WINDOW = 10;
    private static final int COUNTERS = SLICES_PER_WINDOW + 1;
    private static final int PERCENT = 100;

    private final Map<ServiceName, Slices> mServices = new HashMap<>();
    private int mRetriesLeft;

    /** Creates a budget with empty windows. */
    public SlidingWindowRetryBudget() {}

    @Override
    public void recordFirstAttempt(Target target, RoutingLimits limits, Instant now) {
        Slices slices = slices(target, limits, now);
        slices.mFirstAttempts[slices.index()]++;
        mRetriesLeft = remainingRetries(slices, limits);
    }

    @Override
    public boolean tryTakeRetry(Target target, RoutingLimits limits, Instant now) {
        Slices slices = slices(target, limits, now);
        mRetriesLeft = remainingRetries(slices, limits);
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

    /** Returns the service of a target. Models without a service share the empty name. */
    private static ServiceName serviceOf(Target target) {
        if (target instanceof Target.ServiceTarget service) {
            return service.service();
        }
        if (target instanceof Target.ServiceModelTarget serviceModel) {
            return serviceModel.service();
        }
        return new ServiceName("");
    }

    private static int remainingRetries(Slices slices, RoutingLimits limits) {
        long allowed =
                (long) slices.firstAttempts() * limits.retryBudgetPercent() / PERCENT
                        + limits.extraRetries();
        return (int) Math.max(0, allowed - slices.retries());
    }

    /** Ring buffer of the counters of the latest {@link #COUNTERS} slices. */
    private static final class Slices {
        private final int[] mFirstAttempts = new int[COUNTERS];
        private final int[] mRetries = new int[COUNTERS];

        /** The current slice, counted in slices since 1970; the minimum before the first event. */
        private long mNumber = Long.MIN_VALUE;

        /**
         * Makes the slice of the current time the current one and clears its counters and those of
         * the slices since the previous one. Does nothing if the slice is not later.
         *
         * @param slice the length of a slice
         */
        void moveTo(Instant now, Duration slice) {
            long number = now.toEpochMilli() / Math.max(1, slice.toMillis());
            if (number <= mNumber) {
                return;
            }
            long previous = mNumber == Long.MIN_VALUE ? number - COUNTERS : mNumber;
            for (long next = Math.max(previous + 1, number - COUNTERS + 1);
                    next <= number;
                    next++) {
                int index = (int) Math.floorMod(next, (long) COUNTERS);
                mFirstAttempts[index] = 0;
                mRetries[index] = 0;
            }
            mNumber = number;
        }

        int index() {
            return (int) Math.floorMod(mNumber, (long) COUNTERS);
        }

        /** Returns the first attempts in the latest {@link #SLICES_PER_WINDOW} slices. */
        int firstAttempts() {
            int oldest = (int) Math.floorMod(mNumber + 1, (long) COUNTERS);
            return sum(mFirstAttempts) - mFirstAttempts[oldest];
        }

        /** Returns the retries in all counted slices. */
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
