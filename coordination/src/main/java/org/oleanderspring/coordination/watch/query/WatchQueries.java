package org.oleanderspring.coordination.watch.query;

import java.time.Instant;
import java.util.List;

/** Read access to the watches. Called only on the thread that owns them. */
public interface WatchQueries {
    /**
     * Returns the state of each watch, in the order in which they began.
     *
     * @param now the current time
     */
    List<WatchStatus> watches(Instant now);
}
