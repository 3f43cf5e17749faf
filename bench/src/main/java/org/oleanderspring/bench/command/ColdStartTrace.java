package org.oleanderspring.bench.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.ModelName;

/**
 * Calls of several days. Three in ten models are used on nearly every working day at their own
 * time, the others on about one in five; most first questions come at the start of the morning or
 * after lunch, many of them within the same seconds and at several daemons at once. The sixth and
 * seventh day of each week are free.
 */
final class ColdStartTrace {
    private static final long DAY_SECONDS = Duration.ofDays(1).toSeconds();
    private static final int MORNING_SECONDS = 8 * 3600;
    private static final int LUNCH_SECONDS = 13 * 3600;
    private static final int HABIT_SPREAD_SECONDS = 3600;
    private static final int HABIT_JITTER_SECONDS = 180;
    private static final int BELL_SPREAD_MILLIS = 10_000;
    private static final double DAILY_SHARE = 0.3;
    private static final double DAILY_CHANCE = 0.9;
    private static final double RARE_CHANCE = 0.2;
    private static final double BELL_SHARE = 0.4;
    private static final double BURST_SHARE = 0.7;
    private static final double MEDIAN_THINK_SECONDS = 90;
    private static final int LONGEST_SESSION = 12;

    private final ColdStartDeployment mDeployment;
    private final Random mRandom;
    private final List<ColdStartCall> mCalls = new ArrayList<>();

    ColdStartTrace(ColdStartDeployment deployment, long seed) {
        mDeployment = deployment;
        mRandom = new Random(seed);
    }

    List<ColdStartCall> calls(List<Checkpoint> catalogue, int days) {
        for (Checkpoint checkpoint : catalogue) {
            boolean isDaily = mRandom.nextDouble() < DAILY_SHARE;
            boolean isAfterLunch = mRandom.nextBoolean();
            int habit =
                    (isAfterLunch ? LUNCH_SECONDS : MORNING_SECONDS)
                            + mRandom.nextInt(HABIT_SPREAD_SECONDS);
            for (int day = 0; day < days; day++) {
                boolean isFree = day % 7 >= 5;
                double chance = isDaily ? DAILY_CHANCE : RARE_CHANCE;
                if (!isFree && mRandom.nextDouble() < chance) {
                    addDay(checkpoint.name(), day, isDaily ? habit : -1);
                }
            }
        }
        mCalls.sort(Comparator.comparing(ColdStartCall::at));
        return mCalls;
    }

    private void addDay(ModelName model, int day, int habit) {
        long start = day * DAY_SECONDS * 1000 + startOfDay(habit);
        addBurst(model, start);
        int sessions = 1 + mRandom.nextInt(3);
        for (int i = 0; i < sessions; i++) {
            addSession(model, start);
            start += 1000L * (1200 + mRandom.nextInt(7200));
        }
    }

    /** Returns when the first question comes, in milliseconds of the day. */
    private long startOfDay(int habit) {
        if (mRandom.nextDouble() < BELL_SHARE) {
            int bell = habit >= LUNCH_SECONDS ? LUNCH_SECONDS : MORNING_SECONDS;
            return bell * 1000L + mRandom.nextInt(BELL_SPREAD_MILLIS);
        }
        if (habit >= 0) {
            return (habit + mRandom.nextInt(HABIT_JITTER_SECONDS)) * 1000L;
        }
        if (mRandom.nextDouble() < BURST_SHARE) {
            int around = mRandom.nextBoolean() ? MORNING_SECONDS : LUNCH_SECONDS;
            return (around + mRandom.nextInt(HABIT_SPREAD_SECONDS)) * 1000L;
        }
        return (MORNING_SECONDS + mRandom.nextInt(10 * 3600)) * 1000L;
    }

    /** The first question comes from several callers at once. */
    private void addBurst(ModelName model, long start) {
        int callers = 1 + mRandom.nextInt(mDeployment.daemons());
        for (int i = 0; i < callers; i++) {
            add(model, start + mRandom.nextInt(2000), i);
        }
    }

    private void addSession(ModelName model, long start) {
        int questions = 1 + mRandom.nextInt(LONGEST_SESSION);
        int daemon = mRandom.nextInt(mDeployment.daemons());
        long at = start;
        for (int i = 0; i < questions; i++) {
            double seconds = MEDIAN_THINK_SECONDS * Math.exp(mRandom.nextGaussian());
            at += (long) (seconds * 1000);
            add(model, at, daemon);
        }
    }

    private void add(ModelName model, long atMillis, int daemon) {
        Duration patience = Duration.ofMillis(2000 + mRandom.nextInt(6000));
        Duration service = Duration.ofMillis(1000 + mRandom.nextInt(4000));
        mCalls.add(
                new ColdStartCall(Duration.ofMillis(atMillis), model, daemon, patience, service));
    }
}
