package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tells which things are gone for good although the list that shows them lags.
 *
 * <p>A list read at time t shows the state of some time between t minus the lag and t. A thing that
 * is absent from one list may therefore be too new for it. Once it was absent without interruption
 * for the lag, a list shows a state later than the first absence, so it does not exist any more.
 *
 * @param <T> what is tracked
 */
final class AbsenceTracker<T> {
    private final Map<T, Instant> mAbsentSince = new HashMap<>();
    private Instant mLastRead = Instant.MIN;

    /** Takes in a list that shows {@code present}, for the things of interest. */
    void update(Set<T> present, Collection<T> watched, Instant readAt) {
        mLastRead = readAt;
        mAbsentSince.keySet().removeIf(thing -> present.contains(thing));
        mAbsentSince.keySet().retainAll(Set.copyOf(watched));
        for (T thing : watched) {
            if (!present.contains(thing)) {
                mAbsentSince.putIfAbsent(thing, readAt);
            }
        }
    }

    /** Returns whether the thing was absent for longer than the lag. */
    boolean isGone(T thing, Duration lag) {
        Instant since = mAbsentSince.get(thing);
        return since != null && mLastRead.isAfter(since.plus(lag));
    }
}
