package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.quarantine.query.Quarantine;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;

/** An input of the routing state. */
public sealed interface RoutingEvent {
    /**
     * A call arrived from a caller.
     *
     * @param request the call
     */
    record CallArrived(CallRequest request) implements RoutingEvent {}

    /**
     * The claim of a dispatch record completed.
     *
     * @param call the call
     * @param result whether the call may be started
     */
    record DispatchRecorded(CallId call, ClaimResult result) implements RoutingEvent {}

    /**
     * The caller of a call may send no further requests. A waiting call is refused, also one that
     * waits again after an attempt; a running attempt goes on, because it was sent in time.
     *
     * @param call the call
     * @param reason the reason of the refusal
     */
    record CallerWithdrawn(CallId call, RefusalReason reason) implements RoutingEvent {}

    /**
     * The first byte of a response arrived.
     *
     * @param attempt the attempt
     * @param isError whether the response reports an error; such a response may come much sooner
     *     than a useful one
     */
    record ResponseBegan(AttemptId attempt, boolean isError) implements RoutingEvent {
        /**
         * Creates the event for a response that reports no error.
         *
         * @param attempt the attempt
         */
        public ResponseBegan(AttemptId attempt) {
            this(attempt, false);
        }
    }

    /**
     * An attempt ended.
     *
     * @param attempt the attempt
     * @param outcome how the attempt ended
     */
    record AttemptFinished(AttemptId attempt, AttemptOutcome outcome) implements RoutingEvent {}

    /**
     * The caller closed its connection before its call ended.
     *
     * @param call the call
     */
    record CallerDisconnected(CallId call) implements RoutingEvent {}

    /**
     * The replicas or the set of known targets changed.
     *
     * @param table the new table, in full
     */
    record TableChanged(RoutingTable table) implements RoutingEvent {}

    /**
     * The replicas of some targets changed. All other targets and the set of known targets stay the
     * same.
     *
     * @param replicas the replicas of each target that changed; empty for a target without any
     */
    record ReplicasChanged(Map<Target, List<Replica>> replicas) implements RoutingEvent {
        /** Copies the map. */
        public ReplicasChanged {
            replicas = Map.copyOf(replicas);
        }
    }

    /**
     * An endpoint accepts no new work.
     *
     * @param endpoint the endpoint
     */
    record EndpointDraining(EndpointId endpoint) implements RoutingEvent {}

    /**
     * An endpoint said something about itself in the head of a response.
     *
     * @param endpoint the endpoint
     * @param statement what it said
     */
    record EndpointStated(EndpointId endpoint, EndpointStatement statement)
            implements RoutingEvent {}

    /**
     * Permits for calls to an endpoint that limits their rate were granted, or refused for now.
     *
     * @param grant the permits
     */
    record PermitsGranted(PermitGrant grant) implements RoutingEvent {}

    /**
     * The operators changed a setting that routing uses.
     *
     * @param limits the new limits
     */
    record LimitsChanged(RoutingLimits limits) implements RoutingEvent {}

    /**
     * The daemon's settings became valid, or became too old to decide by.
     *
     * @param mayDecide whether the daemon may accept and start calls
     */
    record AuthorityChanged(boolean mayDecide) implements RoutingEvent {}

    /**
     * The prompts whose calls are refused changed.
     *
     * @param quarantine the patterns of these prompts
     */
    record QuarantineChanged(Quarantine quarantine) implements RoutingEvent {}

    /**
     * A new estimate of when a target without a ready replica becomes ready.
     *
     * @param target the target
     * @param readyAt the estimated time
     */
    record ReadinessEstimated(Target target, Instant readyAt) implements RoutingEvent {}

    /**
     * An observation of the load that other daemons put on an endpoint.
     *
     * @param endpoint the endpoint
     * @param callsOfOtherDaemons the number of calls from other daemons that ran there
     * @param observedAt the time of the observation
     */
    record EndpointLoadObserved(EndpointId endpoint, int callsOfOtherDaemons, Instant observedAt)
            implements RoutingEvent {
        /** Rejects a negative number of calls. */
        public EndpointLoadObserved {
            if (callsOfOtherDaemons < 0) {
                throw new IllegalArgumentException(
                        "calls of other daemons are negative: " + callsOfOtherDaemons);
            }
        }
    }

    /**
     * The load of endpoints over all daemons, including this one.
     *
     * @param loads the endpoints that run calls or are slow
     */
    record EndpointLoadsReported(List<EndpointLoad> loads) implements RoutingEvent {
        /** Copies the list. */
        public EndpointLoadsReported {
            loads = List.copyOf(loads);
        }
    }

    /** The next report of this daemon's calls at endpoints is due. */
    record EndpointUseReportDue() implements RoutingEvent {}

    /**
     * The daemon will end. From now on it starts no call that would probably still run then.
     *
     * @param endsAt when it will end
     */
    record ShutdownAnnounced(Instant endsAt) implements RoutingEvent {}

    /**
     * The daemon begins to shut down and accepts no new calls. Calls already admitted are still
     * served.
     */
    record DrainStarted() implements RoutingEvent {}

    /**
     * The shutdown of the daemon is about to end. Waiting calls are refused, and no attempt is
     * started any more.
     */
    record ShutdownEnding() implements RoutingEvent {}

    /**
     * A periodic tick: deadlines, back-offs and activation intervals are checked against the
     * current time.
     */
    record TimerFired() implements RoutingEvent {}
}
