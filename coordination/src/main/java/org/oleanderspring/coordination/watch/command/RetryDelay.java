package org.oleanderspring.coordination.watch.command;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * The growing delays between failed calls. During an outage, every daemon repeats its calls, and
 * each repetition is charged; after it, the calls of all daemons must not arrive together.
 *
 * <p>Used by one thread at a time.
 */
final class RetryDelay {
    static final Duration FIRST = Duration.ofMillis(200);

    /** The share of a delay that is random. */
    private static final double RANDOM_SHARE = 0.25;

    private final Duration mLongest;
    private final RandomGenerator mRandom;
    private Duration mNext;

    /**
     * Creates delays that begin with {@link #FIRST}.
     *
     * @param longest bounds the time for which the end of an outage is not noticed
     * @param random the source of random numbers
     */
    RetryDelay(Duration longest, RandomGenerator random) {
        mLongest = longest;
        mRandom = random;
        mNext = shorter(FIRST);
    }

    /** Returns the delay before the next call. */
    Duration next() {
        Duration longest = mNext;
        mNext = shorter(longest.multipliedBy(2));
        double factor = 1 - RANDOM_SHARE * mRandom.nextDouble();
        return Duration.ofNanos((long) (longest.toNanos() * factor));
    }

    /** Begins with the first delay again, after a call that succeeded. */
    void reset() {
        mNext = shorter(FIRST);
    }

    private Duration shorter(Duration delay) {
        return delay.compareTo(mLongest) < 0 ? delay : mLongest;
    }
}
