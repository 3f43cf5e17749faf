package org.oleanderspring.core.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallOrigin;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.DeadlineScope;
import org.oleanderspring.core.routing.Repetition;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;

/**
 * Guards against calls that a daemon sends on late in a planned stop and cuts off at its end, among
 * them calls that may not be repeated. Calls take two seconds here.
 */
class PlannedStopTest {
    private static final Target.ServiceModelTarget WARM = target("warm");
    private static final Target.ServiceModelTarget COLD = target("cold");
    private static final EndpointId RUNNER = new EndpointId("r1");
    private static final Instant START = Instant.EPOCH.plusSeconds(100);
    private static final Duration CALL = Duration.ofSeconds(2);
    private static final Duration STOP = Duration.ofMillis(7_300);

    private final List<String> mDecisions = new ArrayList<>();
    private final DefaultRoutingDecider mDecider =
            new DefaultRoutingDecider(
                    new LeastLoadedSelector(1),
                    new RefuseLateStartPolicy(),
                    new ResumingRetryPolicy(new SafeRetryPolicy()));

    private static Target.ServiceModelTarget target(String model) {
        return new Target.ServiceModelTarget(
                new ServiceName("assistant"), ModelReference.parse(model));
    }

    @BeforeEach
    void serveOneCallAndAnnounceTheStop() {
        decide(new RoutingEvent.LimitsChanged(RoutingLimits.DEFAULT), Duration.ZERO);
        decide(new RoutingEvent.AuthorityChanged(true), Duration.ZERO);
        table(WARM);
        arrive(1, WARM, CALL.negated());
        AttemptId attempt = new AttemptId(new CallId(1), 1);
        decide(new RoutingEvent.ResponseBegan(attempt), CALL.negated().plusMillis(50));
        decide(
                new RoutingEvent.AttemptFinished(attempt, new AttemptOutcome.Completed(true)),
                Duration.ZERO);
        decide(new RoutingEvent.ShutdownAnnounced(START.plus(STOP)), Duration.ZERO);
        mDecisions.clear();
    }

    private void table(Target.ServiceModelTarget... held) {
        Map<Target, List<Replica>> replicas = new HashMap<>();
        for (Target target : held) {
            replicas.put(target, List.of(new Replica(RUNNER, ReplicaState.READY, 4)));
        }
        decide(
                new RoutingEvent.TableChanged(new RoutingTable(replicas, Set.of(WARM, COLD))),
                Duration.ZERO);
    }

    private void decide(RoutingEvent event, Duration sinceStop) {
        for (RoutingDecision decision : mDecider.decide(event, START.plus(sinceStop))) {
            if (decision instanceof RoutingDecision.StartAttempt start) {
                mDecisions.add("start " + start.attempt().call().value());
            } else if (decision instanceof RoutingDecision.Refuse refuse) {
                mDecisions.add(
                        "refuse "
                                + refuse.call().value()
                                + " "
                                + refuse.reason()
                                + " "
                                + refuse.workState());
            }
        }
    }

    private void arrive(long id, Target target, Duration sinceStop) {
        Instant deadline = START.plus(sinceStop).plusSeconds(20);
        decide(
                new RoutingEvent.CallArrived(
                        new CallRequest(
                                new CallId(id),
                                target,
                                null,
                                0,
                                deadline,
                                0,
                                Repetition.AT_MOST_ONCE,
                                1,
                                DeadlineScope.FULL_RESPONSE,
                                deadline.minusSeconds(10),
                                Prompt.UNKNOWN,
                                CallOrigin.UNKNOWN)),
                sinceStop);
    }

    @Test
    void callThatCanEndInTimeIsServed() {
        arrive(2, WARM, Duration.ofSeconds(2));
        assertThat(mDecisions, contains("start 2"));
    }

    @Test
    void lateCallIsRefusedAsNotRun() {
        arrive(2, WARM, Duration.ofSeconds(5));
        assertThat(mDecisions, contains("refuse 2 DRAINING NOT_RUN"));
    }

    @Test
    void callThatWaitedTooLongIsRefusedInsteadOfStarted() {
        arrive(2, COLD, Duration.ofSeconds(2));
        assertThat(mDecisions, empty());
        decide(new RoutingEvent.TimerFired(), Duration.ofSeconds(5));
        table(WARM, COLD);
        assertThat(mDecisions, contains("refuse 2 DRAINING NOT_RUN"));
    }
}
