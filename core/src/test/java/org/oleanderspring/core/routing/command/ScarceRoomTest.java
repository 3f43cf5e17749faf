package org.oleanderspring.core.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.fleet.StatedLimit;
import org.oleanderspring.core.fleet.StatedPause;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.organisation.OrganisationName;
import org.oleanderspring.core.organisation.TokenCount;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallOrigin;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.DeadlineScope;
import org.oleanderspring.core.routing.IntakeState;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.Repetition;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.query.EndpointStatus;

/** Loads under which the runners of a hosted fleet have too little room for all calls. */
class ScarceRoomTest {
    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final Target MODEL =
            new Target.ServiceModelTarget(SERVICE, ModelReference.parse("m1"));
    private static final EndpointId FIRST = new EndpointId("r1");
    private static final EndpointId SECOND = new EndpointId("r2");
    private static final Duration PATIENCE = Duration.ofSeconds(12);
    private static final Instant START = Instant.EPOCH.plusSeconds(100);

    private final DefaultRoutingDecider mDecider =
            new DefaultRoutingDecider(
                    new LeastLoadedSelector(1),
                    new RefuseLateStartPolicy(),
                    new ResumingRetryPolicy(new SafeRetryPolicy()),
                    new SlidingWindowRetryBudget());
    private long mNextCall = 1;
    private int mPriority;
    private Duration mPatience = PATIENCE;
    private CallOrigin mOrigin = CallOrigin.UNKNOWN;

    @BeforeEach
    void authority() {
        decide(new RoutingEvent.AuthorityChanged(true), 0);
        Duration window = Duration.ofSeconds(10);
        decide(
                new RoutingEvent.LimitsChanged(
                        new RoutingLimits(10, 8, 20, Duration.ofMillis(200), 10, window)),
                0);
    }

    private List<RoutingDecision> decide(RoutingEvent event, long millis) {
        return mDecider.decide(event, START.plusMillis(millis));
    }

    private void table(Replica... replicas) {
        decide(
                new RoutingEvent.TableChanged(
                        new RoutingTable(Map.of(MODEL, List.of(replicas)), Set.of(MODEL))),
                0);
    }

    private static Replica replica(EndpointId id) {
        return new Replica(id, ReplicaState.READY, 4);
    }

    private List<RoutingDecision> arrive(long millis) {
        return arrive(MODEL, millis);
    }

    private List<RoutingDecision> arrive(Target target, long millis) {
        Instant until = START.plusMillis(millis).plus(mPatience);
        return decide(
                new RoutingEvent.CallArrived(
                        new CallRequest(
                                new CallId(mNextCall++),
                                target,
                                null,
                                mPriority,
                                until,
                                0,
                                Repetition.RESUMABLE,
                                2,
                                DeadlineScope.FULL_RESPONSE,
                                until,
                                Prompt.UNKNOWN,
                                mOrigin)),
                millis);
    }

    private void paused(EndpointId id, long pauseMillis, long millis) {
        StatedPause pause = new StatedPause.Paused(Duration.ofMillis(pauseMillis));
        decide(
                new RoutingEvent.EndpointStated(
                        id, new EndpointStatement(false, new StatedLimit.Unlimited(), pause)),
                millis);
    }

    private void calls(EndpointId id, int calls, long millis) {
        decide(
                new RoutingEvent.EndpointLoadsReported(
                        List.of(new EndpointLoad(id, calls, 1, EndpointStatement.NONE))),
                millis);
    }

    private static List<RoutingDecision.StartAttempt> starts(List<RoutingDecision> decisions) {
        List<RoutingDecision.StartAttempt> starts = new ArrayList<>();
        for (RoutingDecision decision : decisions) {
            if (decision instanceof RoutingDecision.StartAttempt start) {
                starts.add(start);
            }
        }
        return starts;
    }

    private static RoutingDecision.Refuse refusal(List<RoutingDecision> decisions) {
        assertThat(decisions, contains(instanceOf(RoutingDecision.Refuse.class)));
        return (RoutingDecision.Refuse) decisions.get(0);
    }

    private static void assertWaits(List<RoutingDecision> decisions) {
        assertThat(decisions, is(empty()));
    }

    private static RoutingEvent ended(long call, AttemptOutcome outcome) {
        return new RoutingEvent.AttemptFinished(new AttemptId(new CallId(call), 1), outcome);
    }

    /** Guards against calls to a runner that has asked for none, also once others are answered. */
    @Test
    void runnerThatTurnsCallsAwayGetsNoneForThatTime() {
        table(replica(FIRST));
        arrive(0);
        arrive(0);
        paused(FIRST, 2_000, 100);
        decide(ended(1, new AttemptOutcome.NotRun("status 503", false)), 100);
        decide(ended(2, new AttemptOutcome.Completed(true)), 150);
        paused(FIRST, 500, 160);
        assertThat(starts(decide(new RoutingEvent.TimerFired(), 2_099)), is(empty()));
        EndpointStatus status = mDecider.snapshot(START.plusMillis(2_099)).endpoints().get(0);
        assertThat(status.intake(), is(IntakeState.TURNED_AWAY));
        assertThat(starts(decide(new RoutingEvent.TimerFired(), 2_100)).size(), is(1));
    }

    /** Guards against calls that wait for one runner while another one would take them. */
    @Test
    void callsGoToTheRunnerThatDoesNotTurnThemAway() {
        table(replica(FIRST), replica(SECOND));
        paused(FIRST, 2_000, 0);
        assertThat(starts(arrive(100)).get(0).endpoint(), is(SECOND));
        assertThat(starts(arrive(100)).get(0).endpoint(), is(SECOND));
    }

    /** Guards against estimates that refuse calls without anyone seeing that they err. */
    @Test
    void refusedCallsThatCouldHaveBeenServedAreCounted() {
        table(replica(FIRST));
        calls(FIRST, 40, 0);
        assertWaits(arrive(0));
        mPatience = Duration.ofSeconds(3);
        refusal(arrive(4_000));
        mPatience = PATIENCE;
        assertWaits(arrive(4_100));
        calls(FIRST, 0, 4_200);
        assertThat(mDecider.counters().refusedServable(), is(1L));
        assertThat(starts(arrive(4_300)).size(), is(1));
        assertThat(mDecider.counters().refusedServable(), is(1L));
    }

    private void origin(String organisation, long tokens) {
        mOrigin = new CallOrigin(new OrganisationName(organisation), new TokenCount(tokens, 0));
    }

    /** Pattern: hot organisation. Guards against its calls before those of all others. */
    @Test
    void hotOrganisationDelaysItself() {
        table(new Replica(FIRST, ReplicaState.READY, 1));
        origin("hot", 3_000);
        for (int call = 0; call < 8; call++) {
            arrive(0);
        }
        origin("small", 3_000);
        arrive(10);
        mPriority = 1;
        arrive(10);
        // Call 9 starts after those of the hot organisation that its own cost outweighs.
        List<Long> order = new ArrayList<>();
        long running = 1;
        for (int end = 1; end < 10; end++) {
            running =
                    starts(decide(ended(running, new AttemptOutcome.Completed(true)), 20 + end))
                            .get(0)
                            .attempt()
                            .call()
                            .value();
            order.add(running);
        }
        assertThat(order, contains(10L, 2L, 9L, 3L, 4L, 5L, 6L, 7L, 8L));
    }

    /** Guards against an urgent call that waits for a less urgent one with an earlier deadline. */
    @Test
    void urgentCallPassesOneThatTheFullRunnerDoesNotTake() {
        origin("a", 100);
        table(replica(FIRST));
        calls(FIRST, 40, 0);
        assertWaits(arrive(0));
        mPriority = 1;
        mPatience = PATIENCE.multipliedBy(2);
        assertThat(starts(arrive(10)).size(), is(1));
    }

    /**
     * Guards against a change for fleets without organisations, in which a call that passes others
     * at a full runner delays calls of other models there.
     */
    @Test
    void callsWithoutOrganisationKeepTheOrderOfTheirDeadlines() {
        table(replica(FIRST));
        calls(FIRST, 40, 0);
        assertWaits(arrive(0));
        mPriority = 1;
        mPatience = PATIENCE.multipliedBy(2);
        assertWaits(arrive(10));
    }

    /**
     * Guards against a runner that crashes because the requests that it holds exceed its memory:
     * two calls of this daemon and two of others leave no room for a further one.
     */
    @Test
    void callsWaitUntilTheMemoryOfTheRunnerHoldsThem() {
        table(new Replica(FIRST, ReplicaState.READY, 16, 10_000, null));
        origin("a", 2_000);
        arrive(0);
        arrive(0);
        decide(new RoutingEvent.EndpointUseReportDue(), 5);
        calls(FIRST, 4, 10);
        assertWaits(arrive(20));
        List<RoutingDecision> afterEnd = decide(ended(1, new AttemptOutcome.Completed(true)), 30);
        assertThat(starts(afterEnd).size(), is(1));
        origin("a", 10_001);
        assertThat(refusal(arrive(40)).reason(), is(RefusalReason.TOO_MANY_TOKENS));
    }

    /** Guards against calls held until their deadline because all runners turn them away. */
    @Test
    void callThatCannotOutwaitThePauseIsRefusedAtOnce() {
        table(replica(FIRST));
        mPatience = Duration.ofSeconds(3);
        assertThat(starts(arrive(0)).size(), is(1));
        paused(FIRST, 4_000, 0);
        RoutingDecision.Refuse refusal = refusal(arrive(500));
        assertThat(refusal.readyIn(), is(Duration.ofMillis(3_500)));
        mPatience = PATIENCE;
        assertWaits(arrive(500));
    }

    /** Guards against a call that waits alone until its deadline: no other one shows the load. */
    @Test
    void callThatNoReplicaTakesIsRefusedWithTimeLeft() {
        table(replica(FIRST));
        calls(FIRST, 40, 0);
        assertWaits(arrive(0));
        assertWaits(decide(new RoutingEvent.TimerFired(), 7_900));
        RoutingDecision.Refuse refusal = refusal(decide(new RoutingEvent.TimerFired(), 8_000));
        assertThat(refusal.reason(), is(RefusalReason.NOT_TAKEN));
    }

    /** Guards against the refusal of a call whose model will be ready in time. */
    @Test
    void callThatWaitsForALoadIsServedLate() {
        decide(new RoutingEvent.TableChanged(new RoutingTable(Map.of(), Set.of(MODEL))), 0);
        arrive(0);
        decide(new RoutingEvent.ReadinessEstimated(MODEL, START.plusSeconds(10)), 7_000);
        assertThat(starts(decide(new RoutingEvent.TimerFired(), 9_000)), is(empty()));
        decide(new RoutingEvent.ReplicasChanged(Map.of(MODEL, List.of(replica(FIRST)))), 9_500);
        assertThat(mDecider.snapshot(START.plusMillis(9_500)).counters().firstAttempts(), is(1L));
    }

    /** Guards against short calls that join a queue in which others have waited for longer. */
    @Test
    void shortCallIsRefusedWhereOthersWaitForLonger() {
        table(replica(FIRST));
        calls(FIRST, 40, 0);
        assertWaits(arrive(0));
        mPatience = Duration.ofSeconds(3);
        assertWaits(arrive(2_000));
        assertThat(refusal(arrive(4_000)).reason(), is(RefusalReason.DEADLINE_TOO_SHORT));
    }
}
