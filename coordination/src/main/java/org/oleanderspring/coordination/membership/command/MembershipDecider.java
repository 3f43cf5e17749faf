package org.oleanderspring.coordination.membership.command;

import java.time.Instant;
import java.util.List;

/**
 * A state machine for the member list of one member: turns events into decisions. Not thread-safe;
 * a single thread owns it.
 */
public interface MembershipDecider {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the current time of a monotonic clock
     * @return the actions to execute, in order
     */
    List<MembershipDecision> decide(MembershipEvent event, Instant now);
}
