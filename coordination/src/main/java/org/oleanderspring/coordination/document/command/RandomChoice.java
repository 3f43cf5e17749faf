package org.oleanderspring.coordination.document.command;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Chooses members at random. */
final class RandomChoice {
    private RandomChoice() {}

    /** Returns up to {@code count} different elements without the excluded one. */
    static <T> List<T> of(
            List<T> candidates, @Nullable T excluded, int count, RandomGenerator random) {
        List<T> remaining = new ArrayList<>(candidates);
        remaining.remove(excluded);
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
