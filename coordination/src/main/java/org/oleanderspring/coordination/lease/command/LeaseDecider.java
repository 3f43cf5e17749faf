package org.oleanderspring.coordination.lease.command;

import java.time.Instant;
import java.util.List;

/**
 * Turns lease events into decisions; owns all leases of one daemon.
 *
 * <p>A lease provides liveness only: somebody takes over soon after a holder died, and usually only
 * one daemon holds a lease. It is not a lock. A holder that is paused after its last check acts
 * although another daemon has taken over, so whatever must happen at most once needs a
 * compare-and-swap or a fencing token of its own.
 */
public interface LeaseDecider {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the current time; never goes back
     * @return what to do, in order
     */
    List<LeaseDecision> decide(LeaseEvent event, Instant now);
}
