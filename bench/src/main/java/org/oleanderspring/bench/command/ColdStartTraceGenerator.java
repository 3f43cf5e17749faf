package org.oleanderspring.bench.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.ModelName;

/**
 * Generates the calls of several days. Three in ten models are used on nine in ten working days,
 * each starting at its own usual time; the others are used on one working day in five. Most first
 * calls of a day come at the start of the morning or after lunch, many of them within the same
 * seconds and at several daemons at once. There are no calls on the sixth and seventh day of a
 * week.
 */
final class ColdStartTraceGenerator {
    private static final long DAY_SECONDS = Duration.ofDays(1).toSeconds();
    private static final int MORNING_SECONDS = 8 * 3600;

    /** The end of the lunch break, in seconds since midnight. */
    private static final int AFTER_LUNCH_SECONDS = 13 * 3600;

    /** The time after the start of the morning or the end of lunch in which usual starts lie. */
    private static final int START_SPREAD_SECONDS = 3600;

    /** The longest delay of a first call after the usual start of its model. */
    private static final int DAILY_JITTER_SECONDS = 180;

    /**
     * The time after the start of the morning or the end of lunch in which synchronized first calls
     * lie.
     */
    private static final int SYNCHRONIZED_SPREAD_MILLIS = 10_000;

    private static final double DAILY_MODEL_SHARE = 0.3;
    private static final double DAILY_USE_PROBABILITY = 0.9;
    private static final double RARE_USE_PROBABILITY = 0.2;

    /** The share of days on which a model's first call is synchronized with those of others. */
    private static final double SYNCHRONIZED_SHARE = 0.4;

    /**
     * The share of the other days of rarely used models on which they start in the hour after the
     * start of the morning or the end of lunch.
     */
    private static final double PEAK_SHARE = 0.7;

    /** The median time between two calls of a session; the times are log-normally distributed. */
    private static final double MEDIAN_THINK_TIME_SECONDS = 90;

    private static final int MAX_SESSION_CALLS = 12;

    private final ColdStartDeployment mDeployment;
    private final Random mRandom;
    private final List<ColdStartCall> mCalls = new ArrayList<>();

    ColdStartTraceGenerator(ColdStartDeployment deployment, long seed) {
        mDeployment = deployment;
        mRandom = new Random(seed);
    }

    /** Returns the calls in order of arrival; to be called once. */
    List<ColdStartCall> generate(List<Checkpoint> catalogue, int days) {
        for (Checkpoint checkpoint : catalogue) {
            boolean isDaily = mRandom.nextDouble() < DAILY_MODEL_SHARE;
            boolean isAfterLunch = mRandom.nextBoolean();
            int usualStartSeconds =
                    (isAfterLunch ? AFTER_LUNCH_SECONDS : MORNING_SECONDS)
                            + mRandom.nextInt(START_SPREAD_SECONDS);
            for (int day = 0; day < days; day++) {
                boolean isWeekend = day % 7 >= 5;
                double probability = isDaily ? DAILY_USE_PROBABILITY : RARE_USE_PROBABILITY;
                if (!isWeekend && mRandom.nextDouble() < probability) {
                    addDay(checkpoint.name(), day, isDaily ? usualStartSeconds : -1);
                }
            }
        }
        mCalls.sort(Comparator.comparing(ColdStartCall::arrival));
        return mCalls;
    }

    /** Adds the first calls of a day and one to three sessions, 20 to 140 minutes apart. */
    private void addDay(ModelName model, int day, int usualStartSeconds) {
        long startMillis = day * DAY_SECONDS * 1000 + firstCallMillis(usualStartSeconds);
        addBurst(model, startMillis);
        int sessions = 1 + mRandom.nextInt(3);
        for (int i = 0; i < sessions; i++) {
            addSession(model, startMillis);
            startMillis += 1000L * (1200 + mRandom.nextInt(7200));
        }
    }

    /**
     * Returns the time of the first call of a day, in milliseconds since midnight.
     *
     * @param usualStartSeconds the usual start of a daily model in seconds since midnight, or -1
     */
    private long firstCallMillis(int usualStartSeconds) {
        if (mRandom.nextDouble() < SYNCHRONIZED_SHARE) {
            int startSeconds =
                    usualStartSeconds >= AFTER_LUNCH_SECONDS
                            ? AFTER_LUNCH_SECONDS
                            : MORNING_SECONDS;
            return startSeconds * 1000L + mRandom.nextInt(SYNCHRONIZED_SPREAD_MILLIS);
        }
        if (usualStartSeconds >= 0) {
            return (usualStartSeconds + mRandom.nextInt(DAILY_JITTER_SECONDS)) * 1000L;
        }
        if (mRandom.nextDouble() < PEAK_SHARE) {
            int peakSeconds = mRandom.nextBoolean() ? MORNING_SECONDS : AFTER_LUNCH_SECONDS;
            return (peakSeconds + mRandom.nextInt(START_SPREAD_SECONDS)) * 1000L;
        }
        return (MORNING_SECONDS + mRandom.nextInt(10 * 3600)) * 1000L;
    }

    /** Adds the first call of a day, sent by up to one caller per daemon within 2 s. */
    private void addBurst(ModelName model, long startMillis) {
        int callers = 1 + mRandom.nextInt(mDeployment.daemons());
        for (int i = 0; i < callers; i++) {
            addCall(model, startMillis + mRandom.nextInt(2000), i);
        }
    }

    /** Adds the calls of one caller at one daemon, with a think time before each. */
    private void addSession(ModelName model, long startMillis) {
        int calls = 1 + mRandom.nextInt(MAX_SESSION_CALLS);
        int daemon = mRandom.nextInt(mDeployment.daemons());
        long arrivalMillis = startMillis;
        for (int i = 0; i < calls; i++) {
            double seconds = MEDIAN_THINK_TIME_SECONDS * Math.exp(mRandom.nextGaussian());
            arrivalMillis += (long) (seconds * 1000);
            addCall(model, arrivalMillis, daemon);
        }
    }

    private void addCall(ModelName model, long arrivalMillis, int daemon) {
        Duration callerTimeout = Duration.ofMillis(2000 + mRandom.nextInt(6000));
        Duration serviceTime = Duration.ofMillis(1000 + mRandom.nextInt(4000));
        mCalls.add(
                new ColdStartCall(
                        Duration.ofMillis(arrivalMillis),
                        model,
                        daemon,
                        callerTimeout,
                        serviceTime));
    }
}
