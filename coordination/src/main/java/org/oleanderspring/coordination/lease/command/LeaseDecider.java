package org.oleanderspring.coordination.lease.command;

import java.time.Instant;
import java.util.List;

/**
 * A state machine for all leases of one daemon: turns events into decisions. Not thread-safe; a
 * single thread owns it.
 *
 * <p>A lease provides liveness only: another daemon takes over soon after a holder has failed, and
 * usually only one daemon holds a lease. It is not a lock. A holder that is paused after its last
 * check acts even though another daemon has taken over, so any action that must happen at most once
 * needs its own compare-and-swap or fencing token.
 */
public interface LeaseDecider {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the current time; must not decrease from one call to the next
     * @return the actions to execute, in order
     */
    List<LeaseDecision> decide(LeaseEvent event, Instant now);
}
