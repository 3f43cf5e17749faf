package org.oleanderspring.coordination.store.query;

import java.util.List;
import org.oleanderspring.coordination.store.StoredValue;

/** Receives the values below a prefix and their changes, in order, over any interruption. */
public interface PrefixListener {
    /**
     * All present values; they replace what was known.
     *
     * @param values the values
     */
    void listed(List<StoredValue> values);

    /**
     * Values changed.
     *
     * @param changes the changes, the oldest first
     */
    void changed(List<StoreChange> changes);

    /**
     * The service does not answer; what is known grows old.
     *
     * @param reason why, for the log
     */
    void interrupted(String reason);

    /** The service answers again; what was missed is reported next. */
    void resumed();
}
