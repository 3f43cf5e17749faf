package org.oleanderspring.coordination.membership.query;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Chooses members at random. */
public final class RandomChoice {
    private RandomChoice() {}

    /**
     * Returns a random sample without replacement, in random order.
     *
     * @param candidates the candidates to choose from
     * @param count the largest number of candidates to return
     * @param random the source of randomness
     * @param <T> the type of candidate
     */
    public static <T> List<T> of(List<T> candidates, int count, RandomGenerator random) {
        List<T> remaining = new ArrayList<>(candidates);
        List<T> chosen = new ArrayList<>();
        while (chosen.size() < count && !remaining.isEmpty()) {
            int last = remaining.size() - 1;
            int index = random.nextInt(remaining.size());
            chosen.add(remaining.get(index));
            remaining.set(index, remaining.get(last));
            remaining.remove(last);
        }
        return chosen;
    }
}
