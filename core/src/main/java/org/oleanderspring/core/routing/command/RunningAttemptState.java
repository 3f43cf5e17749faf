package org.oleanderspring.core.routing.command;

import java.time.Instant;

/**
 * The running attempt of a call.
 *
 * @param replica the replica that runs the attempt
 * @param startedAt when the attempt was started
 * @param trial whether the attempt is the trial call of an endpoint after its back-off
 */
record RunningAttemptState(TrackedReplica replica, Instant startedAt, boolean trial) {}
