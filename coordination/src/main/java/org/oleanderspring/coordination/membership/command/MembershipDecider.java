package org.oleanderspring.coordination.membership.command;

import java.time.Instant;
import java.util.List;

/** Turns membership events into decisions; owns the member list of one member. */
public interface MembershipDecider {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the current time of a clock that never goes back
     * @return the actions to execute, in order
     */
    List<MembershipDecision> decide(MembershipEvent event, Instant now);
}
