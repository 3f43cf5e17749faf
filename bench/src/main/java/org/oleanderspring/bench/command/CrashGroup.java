package org.oleanderspring.bench.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;

/** Which runners end together because of one cause that has nothing to do with prompts. */
enum CrashGroup {
    /** Runners end one by one only. */
    NONE,
    /** All runners of a failure domain, for example by a loss of power. */
    ZONE,
    /** The runners of a model, one in each failure domain, for example by a bad release. */
    MODEL,
    /** All runners. */
    FLEET,
    /** All runners of a failure domain twice, the second time soon after their restart. */
    ZONE_TWICE;

    private static final int RUNNERS_OF_A_MODEL = 4;
    private static final Duration SECOND_CRASH = Duration.ofSeconds(4);

    /**
     * Chooses the runners that end together.
     *
     * @param runners all runners
     * @param failureDomain returns the number of a runner's failure domain
     * @param random the source of random numbers
     * @param <T> the type of runner
     */
    <T> List<T> choose(List<T> runners, ToIntFunction<T> failureDomain, SplittableRandom random) {
        T first = runners.get(random.nextInt(runners.size()));
        return switch (this) {
            case NONE -> List.of();
            case FLEET -> runners;
            case MODEL -> {
                int start = random.nextInt(runners.size());
                List<T> chosen = new ArrayList<>();
                for (int index = 0; index < RUNNERS_OF_A_MODEL; index++) {
                    chosen.add(runners.get((start + index) % runners.size()));
                }
                yield chosen;
            }
            case ZONE, ZONE_TWICE ->
                    runners.stream()
                            .filter(
                                    runner ->
                                            failureDomain.applyAsInt(runner)
                                                    == failureDomain.applyAsInt(first))
                            .toList();
        };
    }

    /** Returns the times of the crashes after the first one. */
    List<Duration> crashes() {
        return this == ZONE_TWICE ? List.of(Duration.ZERO, SECOND_CRASH) : List.of(Duration.ZERO);
    }
}
