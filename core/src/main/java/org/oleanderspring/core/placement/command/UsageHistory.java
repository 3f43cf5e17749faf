package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The usage history of a model or adapter: a histogram of the idle gaps between uses, and the
 * quarter hours of the day in which it was used on the last days.
 */
public final class UsageHistory {
    /**
     * The number of histogram buckets: two for each doubling of the gap, from one second to about
     * 24 days.
     */
    static final int GAP_BUCKETS = 42;

    /** The number of quarter hours per day. */
    static final int QUARTERS_PER_DAY = 96;

    /** The number of days for which the daily pattern is kept. */
    static final int DAYS = 14;

    private static final Duration QUARTER = Duration.ofMinutes(15);
    private static final long SECONDS_PER_DAY = Duration.ofDays(1).toSeconds();

    /** Shorter gaps count as continuous use, because usage reports arrive about once a second. */
    private static final Duration MIN_GAP = Duration.ofSeconds(5);

    /** The counts are halved when their total reaches this limit, so that old gaps lose weight. */
    private static final int TOTAL_LIMIT = 256;

    private static final List<Duration> UPPER_BOUNDS =
            IntStream.range(0, GAP_BUCKETS)
                    .mapToObj(i -> Duration.ofMillis((long) (1000 * Math.pow(2, (i + 1) / 2.0))))
                    .toList();

    private final int[] mGapCounts = new int[GAP_BUCKETS];

    /**
     * The days on which each quarter hour had a use, as a bit set: bit n stands for the day n days
     * before {@code mDay}.
     */
    private final short[] mDaysByQuarter = new short[QUARTERS_PER_DAY];

    private int mTotal;

    /** The day of the first use, in days since the epoch, or -1 if there was none. */
    private long mFirstDay = -1;

    /** The latest day with a use, in days since the epoch, or -1 if there was none. */
    private long mDay = -1;

    /**
     * Adds the idle gap before a use to the histogram.
     *
     * @param lastUse the time of the previous use
     * @param now the time of this use
     */
    public void addGap(Instant lastUse, Instant now) {
        Duration gap = Duration.between(lastUse, now);
        if (gap.compareTo(MIN_GAP) < 0) {
            return;
        }
        mGapCounts[bucketOf(gap)]++;
        mTotal++;
        if (mTotal >= TOTAL_LIMIT) {
            halveCounts();
        }
    }

    /**
     * Adds a use to the daily pattern.
     *
     * @param now the time of the use
     */
    public void addDailyUse(Instant now) {
        advanceToDay(dayOf(now));
        mDaysByQuarter[quarterOf(now)] |= 1;
    }

    private void advanceToDay(long day) {
        if (mFirstDay < 0) {
            mFirstDay = day;
            mDay = day;
        }
        long shift = Math.min(day - mDay, DAYS);
        if (shift <= 0) {
            return;
        }
        int mask = (1 << DAYS) - 1;
        for (int i = 0; i < QUARTERS_PER_DAY; i++) {
            mDaysByQuarter[i] = (short) ((mDaysByQuarter[i] << shift) & mask);
        }
        mDay = day;
    }

    private void halveCounts() {
        mTotal = 0;
        for (int i = 0; i < GAP_BUCKETS; i++) {
            mGapCounts[i] /= 2;
            mTotal += mGapCounts[i];
        }
    }

    /** Returns the number of gaps in a histogram bucket. */
    int gapsIn(int bucket) {
        return mGapCounts[bucket];
    }

    /** Returns the number of gaps in all buckets. */
    int total() {
        return mTotal;
    }

    /**
     * Returns the number of complete days before the day of {@code now} for which the daily pattern
     * has data, at most {@link #DAYS} minus 1.
     */
    int daysObserved(Instant now) {
        if (mFirstDay < 0) {
            return 0;
        }
        return (int) Math.min(dayOf(now) - mFirstDay, DAYS - 1);
    }

    /**
     * Returns the number of earlier days on which the model was used in the quarter hour of {@code
     * at}.
     */
    int daysWithUse(Instant at) {
        long behind = dayOf(at) - mDay;
        if (mDay < 0 || behind >= DAYS) {
            return 0;
        }
        int bits = mDaysByQuarter[quarterOf(at)] & 0xffff;
        int earlier = (int) (((long) bits << behind) & ((1 << DAYS) - 1)) >> 1;
        return Integer.bitCount(earlier);
    }

    /** Returns the end of the quarter hour that contains a time. */
    static Instant endOfQuarter(Instant at) {
        long quarter = Math.floorDiv(at.getEpochSecond(), QUARTER.toSeconds());
        return Instant.ofEpochSecond((quarter + 1) * QUARTER.toSeconds());
    }

    /** Returns the upper bound of the gaps in a bucket. */
    static Duration upperBound(int bucket) {
        return UPPER_BOUNDS.get(bucket);
    }

    /** Returns the bucket of a gap. Gaps beyond the range belong to the first or last bucket. */
    static int bucketOf(Duration gap) {
        double doublings = Math.log(Math.max(1, gap.toMillis()) / 1000.0) / Math.log(2);
        return Math.max(0, Math.min(GAP_BUCKETS - 1, (int) Math.floor(2 * doublings)));
    }

    private static long dayOf(Instant at) {
        return Math.floorDiv(at.getEpochSecond(), SECONDS_PER_DAY);
    }

    private static int quarterOf(Instant at) {
        return (int) (Math.floorMod(at.getEpochSecond(), SECONDS_PER_DAY) / QUARTER.toSeconds());
    }
}
