package org.oleanderspring.coordination.watch.query;

import java.time.Duration;
import java.util.Objects;
import org.oleanderspring.coordination.store.StoreKey;

/**
 * The state of the watch of one prefix.
 *
 * @param prefix the prefix
 * @param age the time since the last answer to the watch; a change since then may be unknown
 */
public record WatchStatus(StoreKey prefix, Duration age) {
    /** Rejects null components. */
    public WatchStatus {
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(age, "age");
    }
}
