package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.oleanderspring.core.routing.IntakeState;
import org.oleanderspring.core.routing.query.EndpointStatus;
import org.oleanderspring.core.routing.query.RoutingSnapshot;
import org.oleanderspring.core.routing.query.TargetStatus;

/**
 * Copies the routing state into a {@link RoutingSnapshot}. Its numbers of tracked targets and
 * endpoints include those that its lists leave out: targets without open calls, and endpoints that
 * run no attempts of this daemon and take calls as usual.
 */
final class SnapshotBuilder {
    private final RoutingState mState;

    SnapshotBuilder(RoutingState state) {
        mState = state;
    }

    RoutingSnapshot build(Instant now) {
        return new RoutingSnapshot(
                now,
                mState.mayDecide(),
                mState.isDrainStarted(),
                mState.calls().size(),
                mState.fleet().targets().size(),
                mState.fleet().endpoints().size(),
                mState.retryBudget().retriesLeft(),
                targets(now),
                endpoints(now),
                mState.statistics().toCounters());
    }

    private List<TargetStatus> targets(Instant now) {
        List<TargetStatus> statuses = new ArrayList<>();
        for (TargetState target : mState.fleet().targets()) {
            if (target.pendingCalls() > 0 || target.running() > 0) {
                statuses.add(status(target, now));
            }
        }
        statuses.sort(Comparator.comparing(status -> status.target().toString()));
        return statuses;
    }

    private static TargetStatus status(TargetState target, Instant now) {
        return new TargetStatus(
                target.target(),
                target.queue().size(),
                target.claimingCalls(),
                target.running(),
                target.capacity(),
                target.estimatedWait(target.pendingCalls(), now));
    }

    private List<EndpointStatus> endpoints(Instant now) {
        List<EndpointStatus> statuses = new ArrayList<>();
        for (EndpointState endpoint : mState.fleet().endpoints()) {
            IntakeState state = endpoint.intakeState(now);
            if (endpoint.running() > 0 || state != IntakeState.OPEN) {
                statuses.add(
                        new EndpointStatus(
                                endpoint.id(),
                                endpoint.running(),
                                endpoint.callsOfAllDaemons(now),
                                state,
                                endpoint.intake().permits().limit()));
            }
        }
        statuses.sort(Comparator.comparing(EndpointStatus::endpoint));
        return statuses;
    }
}
