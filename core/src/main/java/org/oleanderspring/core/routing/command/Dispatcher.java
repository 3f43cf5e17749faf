package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.Target;

/**
 * Starts waiting calls on available replicas, and requests the activation of targets without a
 * ready replica.
 */
final class Dispatcher {
    /** The permits that are asked for at one endpoint at a time; more could not be used soon. */
    private static final int MAX_PERMITS_AHEAD = 2;

    /** That of a call without tokens; the room for others is known when one starts. */
    private static final CallNeed PLAIN_NEED = new CallNeed(false, null);

    private final RoutingState mState;
    private final EndpointSelector mSelector;
    private final OverloadPolicy mPolicy;
    private final AttemptControl mAttempts;
    private final CallCloser mCloser;

    Dispatcher(
            RoutingState state,
            EndpointSelector selector,
            OverloadPolicy policy,
            AttemptControl attempts,
            CallCloser closer) {
        mState = state;
        mSelector = selector;
        mPolicy = policy;
        mAttempts = attempts;
        mCloser = closer;
    }

    void dispatchMarked(RoutingContext context) {
        for (TargetState target : mState.takeMarkedForDispatch()) {
            if (mState.fleet().isKnown(target.target())) {
                startWaiting(target, context);
                requestPermits(target, target.queue().size(), context);
                requestActivation(target, context);
            } else {
                refuseWaiting(target, context);
            }
        }
    }

    private void startWaiting(TargetState target, RoutingContext context) {
        CallState call = target.queue().first();
        while (call != null && startOne(call, target, context)) {
            call = target.queue().first();
        }
        startUrgent(target, context);
    }

    /**
     * Starts urgent calls of organisations for which replicas have room though they have none for
     * the first call.
     */
    private void startUrgent(TargetState target, RoutingContext context) {
        CallState call = target.queue().mostUrgent();
        while (call != null
                && call.request().origin().organisation() != null
                && target.needOf(call.request()).urgent()
                && startOne(call, target, context)) {
            call = target.queue().mostUrgent();
        }
    }

    /**
     * Returns whether the overload policy lets a waiting call start. The policy is consulted only
     * while another call waits for the same capacity. The last waiting call is always started, so
     * that its response corrects an estimate that is too high.
     */
    private boolean shouldStart(CallState call, TargetState target, RoutingContext context) {
        Duration remaining = Duration.between(context.now(), call.request().beginBy());
        return target.queue().size() == 1
                || mPolicy.shouldStart(call.request(), remaining, target.times().firstByte());
    }

    /** Starts or refuses the first waiting call. Returns whether the next call may be tried. */
    private boolean startOne(CallState call, TargetState target, RoutingContext context) {
        if (mState.mayOutliveDaemon(call, context.now())) {
            mCloser.refuse(call, RefusalReason.DRAINING, context);
            return true;
        }
        if (target.isFull()) {
            return false;
        }
        if (!shouldStart(call, target, context)) {
            mCloser.refuse(call, RefusalReason.DEADLINE_TOO_SHORT, context);
            return true;
        }
        CallNeed need = target.needOf(call.request());
        Optional<EndpointChoice> choice =
                mSelector.select(
                        call.request(),
                        new TrackedReplicaCandidates(target.listedReplicas(), context.now(), need));
        if (choice.isEmpty()) {
            return false;
        }
        TrackedReplica replica = target.listedReplicas().get(choice.get().index());
        if (!replica.isAvailable(context.now(), need)) {
            return false;
        }
        mAttempts.start(call, replica, choice.get().reason(), context);
        if (replica.isNearlyFull(context.now())) {
            // The next calls may find no room here.
            requestPermits(target, target.queue().size() + 1, context);
        }
        return true;
    }

    /**
     * Asks for permits at the replicas that limit their rate, until as many are expected as calls
     * wait. Replicas whose next permit starts first are asked first.
     */
    private void requestPermits(TargetState target, int calls, RoutingContext context) {
        Instant now = context.now();
        List<TrackedReplica> limited = new ArrayList<>();
        int missing = calls;
        for (TrackedReplica replica : target.listedReplicas()) {
            CallPermits permits = replica.endpoint().intake().permits();
            if (permits.isLimited() && replica.isAvailableWithPermit(now, PLAIN_NEED)) {
                limited.add(replica);
                missing -= permits.expected(now);
            }
        }
        limited.sort(Comparator.comparing(replica -> nextPermitAt(replica, now)));
        for (TrackedReplica replica : limited) {
            CallPermits permits = replica.endpoint().intake().permits();
            if (missing > 0 && permits.mayRequest(now)) {
                int count = Math.min(missing, MAX_PERMITS_AHEAD);
                missing -= count;
                context.add(
                        new RoutingDecision.RequestPermits(
                                permits.request(replica.endpoint(), count, now)));
            }
        }
    }

    private static Instant nextPermitAt(TrackedReplica replica, Instant now) {
        return replica.endpoint().intake().permits().nextStart(now);
    }

    private void requestActivation(TargetState target, RoutingContext context) {
        CallState first = target.queue().first();
        if (first == null || target.capacity() > 0) {
            return;
        }
        if (target.target() instanceof Target.ServiceTarget
                || !target.recordActivationIfDue(
                        context.now(), mState.limits().activationInterval())) {
            return;
        }
        mState.statistics().activationRequested();
        context.add(activationRequest(target, first.request().deadline()));
    }

    private static RoutingDecision activationRequest(TargetState target, Instant earliestDeadline) {
        int waiting = target.queue().size();
        if (target.target() instanceof Target.ServiceModelTarget serviceModel) {
            return new RoutingDecision.RequestLoad(serviceModel, earliestDeadline, waiting);
        }
        Target.ModelTarget model = (Target.ModelTarget) target.target();
        return new RoutingDecision.RequestActivation(model.model(), earliestDeadline, waiting);
    }

    private void refuseWaiting(TargetState target, RoutingContext context) {
        @Nullable CallState call = target.queue().first();
        while (call != null) {
            mCloser.refuse(call, RefusalReason.UNKNOWN_TARGET, context);
            call = target.queue().first();
        }
    }
}
