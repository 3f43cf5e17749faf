package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.WorkState;

/** What routing decided; the daemon carries it out. */
public sealed interface RoutingDecision {
    /**
     * Write a dispatch record before the call is started.
     *
     * @param call the call
     * @param key its idempotency key
     */
    record RecordDispatch(CallId call, IdempotencyKey key) implements RoutingDecision {}

    /**
     * Record how a claimed call ended.
     *
     * @param key its idempotency key
     * @param state how it ended
     */
    record RecordOutcome(IdempotencyKey key, RecordState state) implements RoutingDecision {}

    /**
     * Send the call to an endpoint.
     *
     * @param attempt the identity of the attempt
     * @param endpoint the endpoint
     * @param deadline when the answer must have begun
     * @param reason why this endpoint, for the log
     */
    record StartAttempt(AttemptId attempt, EndpointId endpoint, Instant deadline, String reason)
            implements RoutingDecision {}

    /**
     * Stop an attempt whose answer nobody waits for.
     *
     * @param attempt the attempt
     * @param reason why, for the log
     */
    record CancelAttempt(AttemptId attempt, String reason) implements RoutingDecision {}

    /**
     * Ask the holder of the cell to load a model.
     *
     * @param model the model or adapter
     * @param earliestDeadline the earliest deadline among the waiting calls
     * @param waiting how many calls wait
     */
    record RequestActivation(ModelName model, Instant earliestDeadline, int waiting)
            implements RoutingDecision {}

    /**
     * Ask for a model or adapter to be loaded on a runner of its service.
     *
     * @param target the model or adapter
     * @param earliestDeadline the earliest deadline among the waiting calls
     * @param waiting how many calls wait
     */
    record RequestLoad(Target.ServiceModelTarget target, Instant earliestDeadline, int waiting)
            implements RoutingDecision {}

    /**
     * Refuse a call.
     *
     * @param call the call
     * @param reason why
     * @param workState whether the work was done
     * @param readyIn when the target is expected to take calls; null if that is not known
     */
    record Refuse(
            CallId call, RefusalReason reason, WorkState workState, @Nullable Duration readyIn)
            implements RoutingDecision {
        /**
         * Creates a refusal for a reason that does not pass with time.
         *
         * @param call the call
         * @param reason why
         * @param workState whether the work was done
         */
        public Refuse(CallId call, RefusalReason reason, WorkState workState) {
            this(call, reason, workState, null);
        }
    }

    /**
     * The call ended with its whole answer; the daemon may forget it.
     *
     * @param call the call
     */
    record FinishCall(CallId call) implements RoutingDecision {}
}
