package org.oleanderspring.daemon.gateway.routing.query;

/** Whether the caller of a request still waits for the response; may be asked on any thread. */
@FunctionalInterface
public interface CallerPresence {
    /**
     * Returns whether the caller has disconnected. The routing duty asks before it sends a request,
     * because the event of the disconnection may still wait in its ring.
     */
    boolean hasDisconnected();
}
