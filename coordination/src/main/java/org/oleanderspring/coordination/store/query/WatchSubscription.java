package org.oleanderspring.coordination.store.query;

/** A running watch. */
public interface WatchSubscription extends AutoCloseable {
    /** Ends the watch; the listener is not called afterwards. */
    @Override
    void close();
}
