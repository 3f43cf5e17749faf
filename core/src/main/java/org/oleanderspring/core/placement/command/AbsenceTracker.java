package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Determines which items no longer exist, based on a list that may lag behind the actual state.
 *
 * <p>A list read at time t shows the state at some time between t minus the lag and t, so an item
 * that is absent from one list may be newer than that list. If the item was absent from all lists
 * for longer than the lag, the latest list shows a state later than the first absence, so the item
 * no longer exists.
 *
 * @param <T> the type of the item identifiers
 */
final class AbsenceTracker<T> {
    private final Map<T, Instant> mAbsentSince = new HashMap<>();
    private Instant mLastReadAt = Instant.MIN;

    /**
     * Processes a list that was read at {@code readAt} and contains {@code present}; only {@code
     * watched} items are tracked.
     */
    void update(Set<T> present, Collection<T> watched, Instant readAt) {
        mLastReadAt = readAt;
        mAbsentSince.keySet().removeIf(item -> present.contains(item));
        mAbsentSince.keySet().retainAll(Set.copyOf(watched));
        for (T item : watched) {
            if (!present.contains(item)) {
                mAbsentSince.putIfAbsent(item, readAt);
            }
        }
    }

    /** Returns whether a watched item was absent for longer than the lag. */
    boolean isConfirmedAbsent(T item, Duration lag) {
        Instant since = mAbsentSince.get(item);
        return since != null && mLastReadAt.isAfter(since.plus(lag));
    }
}
