package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.core.permit.PermitRequest;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.WorkState;

/** An action decided by routing, to be executed by the daemon. */
public sealed interface RoutingDecision {
    /**
     * Claim a dispatch record before the call is started.
     *
     * @param call the call
     * @param key the idempotency key of the call
     */
    record RecordDispatch(CallId call, IdempotencyKey key) implements RoutingDecision {}

    /**
     * Record the outcome of a call that holds a dispatch record.
     *
     * @param key the idempotency key of the call
     * @param state the new state of the record
     */
    record RecordOutcome(IdempotencyKey key, RecordState state) implements RoutingDecision {}

    /**
     * Send a call to an endpoint.
     *
     * @param attempt the identity of the attempt
     * @param endpoint the endpoint
     * @param deadline the deadline of the call
     * @param reason why this endpoint was chosen, for the log
     */
    record StartAttempt(AttemptId attempt, EndpointId endpoint, Instant deadline, String reason)
            implements RoutingDecision {}

    /**
     * Cancel a running attempt.
     *
     * @param attempt the attempt
     * @param reason why the attempt is cancelled, for the log
     */
    record CancelAttempt(AttemptId attempt, String reason) implements RoutingDecision {}

    /**
     * Ask the holder of the placement lease of the cell to activate (load) a model.
     *
     * @param model the model or adapter
     * @param earliestDeadline the earliest deadline among the waiting calls
     * @param waiting the number of waiting calls
     */
    record RequestActivation(ModelName model, Instant earliestDeadline, int waiting)
            implements RoutingDecision {}

    /**
     * Ask for a model or adapter to be loaded on a runner of its service.
     *
     * @param target the model or adapter
     * @param earliestDeadline the earliest deadline among the waiting calls
     * @param waiting the number of waiting calls
     */
    record RequestLoad(Target.ServiceModelTarget target, Instant earliestDeadline, int waiting)
            implements RoutingDecision {}

    /**
     * Ask for permits for calls to an endpoint that limits their rate.
     *
     * @param request the request
     */
    record RequestPermits(PermitRequest request) implements RoutingDecision {}

    /**
     * Refuse a call.
     *
     * @param call the call
     * @param reason the reason of the refusal
     * @param workState whether the work of the call ran
     * @param readyIn the estimated time until the target accepts calls; null if unknown
     */
    record Refuse(
            CallId call, RefusalReason reason, WorkState workState, @Nullable Duration readyIn)
            implements RoutingDecision {
        /**
         * Creates a refusal without an estimate of when the target accepts calls.
         *
         * @param call the call
         * @param reason the reason of the refusal
         * @param workState whether the work of the call ran
         */
        public Refuse(CallId call, RefusalReason reason, WorkState workState) {
            this(call, reason, workState, null);
        }
    }

    /**
     * End a call whose complete response was passed on. The daemon may release its state of the
     * call.
     *
     * @param call the call
     */
    record FinishCall(CallId call) implements RoutingDecision {}

    /**
     * Report the calls of this daemon at endpoints.
     *
     * @param uses the endpoints at which it runs calls or received responses
     */
    record ReportEndpointUse(List<EndpointUse> uses) implements RoutingDecision {
        /** Copies the list. */
        public ReportEndpointUse {
            uses = List.copyOf(uses);
        }
    }
}
