package org.oleanderspring.core.routing.command;

import java.time.Instant;

/**
 * The attempt of a call that runs now.
 *
 * @param slot the replica that runs it
 * @param startedAt when it was started
 * @param trial whether it tests an endpoint whose back-off has ended
 */
record RunningAttemptState(ReplicaSlot slot, Instant startedAt, boolean trial) {}
