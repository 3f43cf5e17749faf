package org.oleanderspring.core.routing.command;

/**
 * A moving average of logarithms that follows most samples and hardly the outliers. The first
 * samples have equal weights, so that a wrong first one is soon forgotten.
 */
final class LogAverage {
    /** The weight of a sample after the first ones. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /** The largest deviation from the average that counts after the first samples. */
    private static final double LARGEST_STEP = Math.log(2);

    /** From this number of samples on, deviations are limited. */
    private static final int FIRST_SAMPLES = 6;

    private final int mPriorSamples;
    private double mValue;
    private int mSamples;

    /**
     * Creates an average.
     *
     * @param priorSamples the number of samples with value 0 that it begins with
     */
    LogAverage(int priorSamples) {
        mPriorSamples = priorSamples;
    }

    double value() {
        return mValue;
    }

    /** Returns the number of samples, counted up to {@link Integer#MAX_VALUE}. */
    int samples() {
        return mSamples;
    }

    void add(double sample) {
        if (mSamples < Integer.MAX_VALUE) {
            mSamples++;
        }
        double deviation = sample - mValue;
        if (mPriorSamples > 0 || mSamples > FIRST_SAMPLES) {
            deviation = Math.max(-LARGEST_STEP, Math.min(LARGEST_STEP, deviation));
        }
        mValue += Math.max(SAMPLE_WEIGHT, 1.0 / (mPriorSamples + mSamples)) * deviation;
    }
}
