package org.oleanderspring.coordination.store.query;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoredValue;

/**
 * Receives the values under a key prefix and their changes, in order, across interruptions of the
 * connection.
 */
public interface PrefixListener {
    /**
     * Called with all current values, which replace those reported before.
     *
     * @param values the values
     */
    void listed(List<StoredValue> values);

    /**
     * Called with changes of values.
     *
     * @param changes the changes, the oldest first
     */
    void changed(List<StoreChange> changes);

    /**
     * Called when the key-value service has come back from a copy. Its values are listed again; the
     * copy may lack some of them, and may have removed values again.
     *
     * @param era the era of the service from now on
     */
    void restored(StoreEra era);

    /**
     * Called when the key-value service stops responding; the values reported so far may become
     * outdated.
     *
     * @param reason the cause, for log messages
     */
    void interrupted(String reason);

    /**
     * Called when the key-value service responds again; changes missed in the meantime are reported
     * next.
     *
     * @param outdatedFor the time for which the values may have been outdated
     */
    void resumed(Duration outdatedFor);

    /**
     * Called after the changes of an answer were reported: all changes that the service had
     * acknowledged by a time have been reported. Does nothing unless it is overridden.
     *
     * @param provenAt that time, by the clock of the caller of this method
     */
    default void confirmed(Instant provenAt) {}
}
