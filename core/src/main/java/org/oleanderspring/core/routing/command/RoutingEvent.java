package org.oleanderspring.core.routing.command;

import java.time.Instant;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;

/** Something that routing has to react to. */
public sealed interface RoutingEvent {
    /**
     * A caller sent a call.
     *
     * @param request the call
     */
    record CallArrived(CallRequest request) implements RoutingEvent {}

    /**
     * The claim of a non-idempotent call was settled.
     *
     * @param call the call
     * @param result whether it may be started
     */
    record DispatchRecorded(CallId call, ClaimResult result) implements RoutingEvent {}

    /**
     * The first byte of an answer arrived.
     *
     * @param attempt the attempt
     */
    record ResponseBegan(AttemptId attempt) implements RoutingEvent {}

    /**
     * An attempt ended.
     *
     * @param attempt the attempt
     * @param outcome how it ended
     */
    record AttemptFinished(AttemptId attempt, AttemptOutcome outcome) implements RoutingEvent {}

    /**
     * The caller closed its connection.
     *
     * @param call the call
     */
    record CallerLeft(CallId call) implements RoutingEvent {}

    /**
     * The replicas or the known targets changed.
     *
     * @param table the new table
     */
    record TableChanged(RoutingTable table) implements RoutingEvent {}

    /**
     * An endpoint takes no new work.
     *
     * @param endpoint the endpoint
     */
    record EndpointDraining(EndpointId endpoint) implements RoutingEvent {}

    /**
     * The operators' settings changed.
     *
     * @param limits the new limits
     */
    record LimitsChanged(RoutingLimits limits) implements RoutingEvent {}

    /**
     * The daemon gained or lost the right to decide by its settings.
     *
     * @param mayDecide whether it may accept new calls
     */
    record AuthorityChanged(boolean mayDecide) implements RoutingEvent {}

    /**
     * A new estimate of how long a target without a replica takes to become ready.
     *
     * @param target the target
     * @param readyAt when it will be ready
     */
    record ReadinessEstimated(Target target, Instant readyAt) implements RoutingEvent {}

    /**
     * How many calls of other daemons an endpoint ran a while ago.
     *
     * @param endpoint the endpoint
     * @param callsOfOthers how many calls of other daemons it ran
     * @param seenAt when that was so
     */
    record EndpointLoadSeen(EndpointId endpoint, int callsOfOthers, Instant seenAt)
            implements RoutingEvent {
        /** Checks the range. */
        public EndpointLoadSeen {
            if (callsOfOthers < 0) {
                throw new IllegalArgumentException("load is negative: " + callsOfOthers);
            }
        }
    }

    /** The daemon takes no new calls from now on. */
    record DrainStarted() implements RoutingEvent {}

    /** The daemon is about to end: calls that wait are refused, and none is started any more. */
    record DrainEnding() implements RoutingEvent {}

    /** Time has passed. */
    record TimerFired() implements RoutingEvent {}
}
