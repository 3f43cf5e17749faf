package org.oleanderspring.core.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

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
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.RefusedPattern;
import org.oleanderspring.core.quarantine.query.Quarantine;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallOrigin;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.DeadlineScope;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.Repetition;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.WorkState;

/**
 * Routing rules that apply only to calls of a hosted fleet: full-response deadlines, resumption of
 * streams, load requests and retry windows.
 */
class HostedRoutingTest {
    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final Target.ServiceModelTarget MODEL =
            new Target.ServiceModelTarget(SERVICE, ModelReference.parse("m1"));
    private static final EndpointId FIRST = new EndpointId("r1");
    private static final EndpointId SECOND = new EndpointId("r2");
    private static final CallId CALL = new CallId(1);
    private static final Instant START = Instant.EPOCH;
    private static final PromptPart DEADLY_PART = new PromptPart("dead");
    private static final Prompt DEADLY_PROMPT =
            new Prompt(List.of(new PromptPart("first"), DEADLY_PART), new PromptPart("own"));
    private static final Quarantine QUARANTINE =
            new Quarantine(
                    List.of(new RefusedPattern(new PromptPattern(List.of(DEADLY_PART)), true, 0)));

    private Prompt mPrompt = Prompt.UNKNOWN;

    private final DefaultRoutingDecider mDecider =
            new DefaultRoutingDecider(
                    new LeastLoadedSelector(1),
                    new RefuseLateStartPolicy(),
                    new ResumingRetryPolicy(new SafeRetryPolicy()),
                    new SlidingWindowRetryBudget());

    @BeforeEach
    void limits() {
        decide(new RoutingEvent.AuthorityChanged(true), START);
        decide(
                new RoutingEvent.LimitsChanged(
                        new RoutingLimits(
                                10, 8, 20, Duration.ofMillis(200), 10, Duration.ofSeconds(10))),
                START);
    }

    private List<RoutingDecision> decide(RoutingEvent event, Instant now) {
        return mDecider.decide(event, now);
    }

    private void table(EndpointId... endpoints) {
        List<Replica> replicas = new ArrayList<>();
        for (EndpointId endpoint : endpoints) {
            replicas.add(new Replica(endpoint, ReplicaState.READY, 4));
        }
        decide(
                new RoutingEvent.TableChanged(
                        new RoutingTable(
                                replicas.isEmpty() ? Map.of() : Map.of(MODEL, replicas),
                                Set.of(MODEL))),
                START);
    }

    private List<RoutingDecision> arrive(Repetition repetition, int attempts) {
        return arrive(repetition, attempts, START.plusSeconds(10));
    }

    private List<RoutingDecision> arrive(Repetition repetition, int attempts, Instant beginBy) {
        return decide(
                new RoutingEvent.CallArrived(
                        new CallRequest(
                                CALL,
                                MODEL,
                                null,
                                0,
                                START.plusSeconds(10),
                                0,
                                repetition,
                                attempts,
                                DeadlineScope.FULL_RESPONSE,
                                beginBy,
                                mPrompt,
                                CallOrigin.UNKNOWN)),
                START);
    }

    private static RoutingDecision.StartAttempt started(List<RoutingDecision> decisions) {
        for (RoutingDecision decision : decisions) {
            if (decision instanceof RoutingDecision.StartAttempt start) {
                return start;
            }
        }
        throw new AssertionError("no attempt in " + decisions);
    }

    private static RoutingDecision refused(RefusalReason reason, WorkState work) {
        return new RoutingDecision.Refuse(CALL, reason, work);
    }

    private static RoutingEvent ended(int attempt, AttemptOutcome outcome) {
        return new RoutingEvent.AttemptFinished(new AttemptId(CALL, attempt), outcome);
    }

    /** Guards against endless responses: the deadline bounds the end, not only the first byte. */
    @Test
    void responsePastItsDeadlineIsCancelled() {
        table(FIRST);
        arrive(Repetition.AT_MOST_ONCE, 1);
        decide(new RoutingEvent.ResponseBegan(new AttemptId(CALL, 1)), START.plusSeconds(1));
        assertThat(decide(new RoutingEvent.TimerFired(), START.plusSeconds(9)), is(empty()));
        List<RoutingDecision> late = decide(new RoutingEvent.TimerFired(), START.plusSeconds(10));
        assertThat(late, hasItem(refused(RefusalReason.DEADLINE_PASSED, WorkState.UNKNOWN)));
    }

    /** Guards against a stream that ends with its runner although another runner can resume it. */
    @Test
    void interruptedStreamResumesOnAnotherRunner() {
        table(FIRST, SECOND);
        EndpointId first = started(arrive(Repetition.RESUMABLE, 2)).endpoint();
        decide(new RoutingEvent.ResponseBegan(new AttemptId(CALL, 1)), START.plusSeconds(1));
        List<RoutingDecision> next =
                decide(ended(1, new AttemptOutcome.Failed("reset", true)), START.plusSeconds(2));
        assertThat(started(next).endpoint(), is(not(first)));
    }

    /**
     * Guards against a quarantined call that reaches a runner, or one without the part that does
     * not.
     */
    @Test
    void arrivingCallWithQuarantinedPromptIsRefused() {
        table(FIRST);
        decide(new RoutingEvent.QuarantineChanged(QUARANTINE), START);
        mPrompt = DEADLY_PROMPT;
        assertThat(
                arrive(Repetition.RESUMABLE, 2),
                is(List.of(refused(RefusalReason.QUARANTINED, WorkState.NOT_RUN))));
        mPrompt = new Prompt(List.of(new PromptPart("first")), new PromptPart("own"));
        assertThat(started(arrive(Repetition.RESUMABLE, 2)).endpoint(), is(FIRST));
    }

    private static Quarantine suspicion(int trial) {
        return new Quarantine(
                List.of(new RefusedPattern(new PromptPattern(List.of(DEADLY_PART)), false, trial)));
    }

    /** Guards against callers who do not come back although their prompt may be sound. */
    @Test
    void callWithSuspectedPromptIsRefusedForAShortTime() {
        table(FIRST);
        decide(new RoutingEvent.QuarantineChanged(suspicion(0)), START);
        mPrompt = DEADLY_PROMPT;
        assertThat(
                arrive(Repetition.RESUMABLE, 2),
                is(
                        List.of(
                                new RoutingDecision.Refuse(
                                        CALL,
                                        RefusalReason.SUSPECTED,
                                        WorkState.NOT_RUN,
                                        QuarantineGate.TRIAL_TIME))));
    }

    /** Guards against a trial that reaches several runners, by its repeat or with other calls. */
    @Test
    void trialLetsOneCallReachOneRunner() {
        table(FIRST, SECOND);
        decide(new RoutingEvent.QuarantineChanged(suspicion(7)), START);
        mPrompt = DEADLY_PROMPT;
        started(arrive(Repetition.RESUMABLE, 2));
        List<RoutingDecision> failed =
                decide(ended(1, new AttemptOutcome.Failed("reset", true)), START.plusSeconds(1));
        assertThat(failed.size(), is(1));
        assertThat(((RoutingDecision.Refuse) failed.get(0)).workState(), is(WorkState.UNKNOWN));
        List<RoutingDecision> next = arrive(Repetition.RESUMABLE, 2);
        assertThat(((RoutingDecision.Refuse) next.get(0)).reason(), is(RefusalReason.SUSPECTED));
        decide(new RoutingEvent.QuarantineChanged(suspicion(8)), START.plusSeconds(2));
        started(arrive(Repetition.RESUMABLE, 2));
    }

    /** Guards against a trial that is used up by a call that has reached no runner. */
    @Test
    void trialThatReachesNoRunnerIsMadeByAnotherCall() {
        table();
        decide(new RoutingEvent.QuarantineChanged(suspicion(7)), START);
        mPrompt = DEADLY_PROMPT;
        arrive(Repetition.RESUMABLE, 2);
        decide(new RoutingEvent.CallerDisconnected(CALL), START.plusSeconds(1));
        table(FIRST);
        started(arrive(Repetition.RESUMABLE, 2));
        decide(new RoutingEvent.CallerDisconnected(CALL), START.plusSeconds(1));
        assertThat(
                ((RoutingDecision.Refuse) arrive(Repetition.RESUMABLE, 2).get(0)).reason(),
                is(RefusalReason.SUSPECTED));
    }

    /** Guards against a trial that is cancelled by the decision that it tests. */
    @Test
    void trialGoesOnWhenTheQuarantineChanges() {
        table(FIRST);
        decide(new RoutingEvent.QuarantineChanged(suspicion(7)), START);
        mPrompt = DEADLY_PROMPT;
        started(arrive(Repetition.RESUMABLE, 2));
        assertThat(
                decide(new RoutingEvent.QuarantineChanged(suspicion(0)), START.plusSeconds(1)),
                is(empty()));
    }

    /** Guards against calls in the queue that are sent although their prompt was quarantined. */
    @Test
    void waitingCallIsRefusedWhenItsPromptIsQuarantined() {
        table();
        mPrompt = DEADLY_PROMPT;
        arrive(Repetition.RESUMABLE, 2);
        List<RoutingDecision> decisions =
                decide(new RoutingEvent.QuarantineChanged(QUARANTINE), START.plusSeconds(1));
        assertThat(decisions, is(List.of(refused(RefusalReason.QUARANTINED, WorkState.NOT_RUN))));
        table(FIRST);
        assertThat(decide(new RoutingEvent.TimerFired(), START.plusSeconds(2)), is(empty()));
    }

    /** Guards against the repeat of a call under which a runner ended, and a false "not run". */
    @Test
    void brokenCallIsNotRepeatedIfItsPromptIsQuarantined() {
        table(FIRST, SECOND);
        mPrompt = DEADLY_PROMPT;
        arrive(Repetition.RESUMABLE, 2);
        decide(new RoutingEvent.ResponseBegan(new AttemptId(CALL, 1)), START.plusSeconds(1));
        assertThat(
                decide(new RoutingEvent.QuarantineChanged(QUARANTINE), START.plusSeconds(1)),
                is(empty()));
        assertThat(
                decide(ended(1, new AttemptOutcome.Failed("reset", true)), START.plusSeconds(2)),
                is(List.of(refused(RefusalReason.QUARANTINED, WorkState.UNKNOWN))));
    }

    /**
     * Guards against an attempt that goes on to crash its runner, also as the repeat of another.
     */
    @Test
    void attemptThatIsNotAnsweredYetIsCancelledByTheQuarantine() {
        table(FIRST, SECOND);
        mPrompt = DEADLY_PROMPT;
        arrive(Repetition.RESUMABLE, 2);
        decide(new RoutingEvent.ResponseBegan(new AttemptId(CALL, 1)), START.plusSeconds(1));
        decide(ended(1, new AttemptOutcome.Failed("reset", true)), START.plusSeconds(2));
        List<RoutingDecision> decisions =
                decide(new RoutingEvent.QuarantineChanged(QUARANTINE), START.plusSeconds(3));
        assertThat(decisions.get(0), instanceOf(RoutingDecision.CancelAttempt.class));
        assertThat(decisions.get(1), is(refused(RefusalReason.QUARANTINED, WorkState.UNKNOWN)));
    }

    /** Guards against repeating a call that may run at most once. */
    @Test
    void failedNonIdempotentCallIsNotRepeated() {
        table(FIRST, SECOND);
        arrive(Repetition.AT_MOST_ONCE, 3);
        List<RoutingDecision> next =
                decide(ended(1, new AttemptOutcome.Failed("reset", false)), START.plusSeconds(1));
        assertThat(next, is(List.of(refused(RefusalReason.ATTEMPTS_EXHAUSTED, WorkState.UNKNOWN))));
    }

    /** Guards against refusing a call although no runner has received it yet. */
    @Test
    void attemptThatWasNotSentIsNotCounted() {
        table(FIRST, SECOND);
        EndpointId first = started(arrive(Repetition.AT_MOST_ONCE, 1)).endpoint();
        List<RoutingDecision> next =
                decide(ended(1, new AttemptOutcome.NotSent("refused")), START.plusMillis(5));
        assertThat(started(next).endpoint(), is(not(first)));
    }

    /** Guards against repeated attempts on a runner that does not hold the model. */
    @Test
    void runnerWithoutTheModelIsSkipped() {
        table(FIRST, SECOND);
        EndpointId first = started(arrive(Repetition.REPEATABLE, 3)).endpoint();
        List<RoutingDecision> next =
                decide(ended(1, new AttemptOutcome.NotHeld("421")), START.plusMillis(5));
        assertThat(started(next).endpoint(), is(not(first)));
        EndpointId second = started(next).endpoint();
        List<RoutingDecision> none =
                decide(ended(2, new AttemptOutcome.NotHeld("421")), START.plusMillis(9));
        assertThat(none, is(empty()));
        assertThat(second, is(not(first)));
    }

    /** Guards against a call that waits for a model without requesting its load. */
    @Test
    void waitingCallRequestsTheLoadOfItsModel() {
        table();
        assertThat(
                arrive(Repetition.REPEATABLE, 2),
                hasItem(new RoutingDecision.RequestLoad(MODEL, START.plusSeconds(10), 1)));
    }

    /** Guards against a call that waits although it cannot be served in time. */
    @Test
    void callThatCannotBeServedInTimeIsRefused() {
        table();
        arrive(Repetition.REPEATABLE, 2);
        assertThat(
                decide(
                        new RoutingEvent.ReadinessEstimated(MODEL, START.plusSeconds(9)),
                        START.plusMillis(50)),
                is(empty()));
        assertThat(
                decide(
                        new RoutingEvent.ReadinessEstimated(MODEL, START.plusSeconds(12)),
                        START.plusMillis(90)),
                is(
                        List.of(
                                new RoutingDecision.Refuse(
                                        CALL,
                                        RefusalReason.DEADLINE_TOO_SHORT,
                                        WorkState.NOT_RUN,
                                        Duration.ofMillis(11_910)))));
    }

    /** Guards against a planned shutdown that leaves a waiting call without a response. */
    @Test
    void waitingCallIsRefusedWhenTheShutdownEnds() {
        table();
        arrive(Repetition.REPEATABLE, 2);
        assertThat(decide(new RoutingEvent.DrainStarted(), START.plusSeconds(3)), is(empty()));
        assertThat(
                decide(new RoutingEvent.ShutdownEnding(), START.plusSeconds(6)),
                is(List.of(refused(RefusalReason.DRAINING, WorkState.NOT_RUN))));
    }

    /** Guards against a retry that is started while the shutdown is ending. */
    @Test
    void failedCallIsRefusedWhenTheShutdownEnds() {
        table(FIRST, SECOND);
        arrive(Repetition.REPEATABLE, 3);
        decide(new RoutingEvent.ShutdownEnding(), START.plusSeconds(6));
        List<RoutingDecision> next =
                decide(ended(1, new AttemptOutcome.Failed("reset", false)), START.plusSeconds(6));
        assertThat(next, not(hasItem(instanceOf(RoutingDecision.StartAttempt.class))));
        assertThat(next, hasItem(refused(RefusalReason.DRAINING, WorkState.UNKNOWN)));
    }

    /**
     * Guards against a stream that waits until its caller disconnects. The caller waits for the
     * first byte for less time than the deadline permits, and retries if the refusal says when.
     */
    @Test
    void refusalSaysWhenTheModelWillBeReady() {
        table();
        decide(new RoutingEvent.ReadinessEstimated(MODEL, START.plusSeconds(6)), START);
        List<RoutingDecision> decisions = arrive(Repetition.RESUMABLE, 2, START.plusMillis(2_400));
        assertThat(
                decisions,
                hasItem(
                        new RoutingDecision.Refuse(
                                CALL,
                                RefusalReason.DEADLINE_TOO_SHORT,
                                WorkState.NOT_RUN,
                                Duration.ofSeconds(6))));
    }

    /**
     * Pattern: mass departure. Guards against calls that all daemons send to the one replica that
     * is left, where they wait until their callers give up.
     */
    @Test
    void callBeyondTheCapacityOfAllReplicasIsRefusedAtOnce() {
        table(FIRST);
        RoutingEvent served = new RoutingEvent.CallArrived(call(1, START.plusSeconds(12)));
        decide(served, START);
        AttemptId attempt = new AttemptId(new CallId(1), 1);
        Instant end = START.plusSeconds(2);
        decide(new RoutingEvent.ResponseBegan(attempt), START.plusMillis(60));
        decide(new RoutingEvent.AttemptFinished(attempt, new AttemptOutcome.Completed(true)), end);
        decide(
                new RoutingEvent.EndpointLoadsReported(
                        List.of(new EndpointLoad(FIRST, 40, 1, EndpointStatement.NONE))),
                end);
        List<RoutingDecision> decisions =
                decide(new RoutingEvent.CallArrived(call(2, end.plusSeconds(12))), end);
        assertThat(decisions, contains(instanceOf(RoutingDecision.Refuse.class)));
        RoutingDecision.Refuse refuse = (RoutingDecision.Refuse) decisions.get(0);
        assertThat(refuse.reason(), is(RefusalReason.DEADLINE_TOO_SHORT));
        assertThat(refuse.workState(), is(WorkState.NOT_RUN));
    }

    /**
     * Pattern: mass departure. Guards against short urgent calls that wait here behind long ones,
     * although the engine would run them first.
     */
    @Test
    void urgentCallIsSentToAFullReplica() {
        table(FIRST);
        decide(
                new RoutingEvent.EndpointLoadsReported(
                        List.of(new EndpointLoad(FIRST, 0, 1, EndpointStatement.NONE))),
                START);
        decide(new RoutingEvent.CallArrived(call(1, START.plusSeconds(12))), START);
        decide(
                new RoutingEvent.EndpointLoadsReported(
                        List.of(new EndpointLoad(FIRST, 40, 1, EndpointStatement.NONE))),
                START.plusMillis(10));
        List<RoutingDecision> urgent =
                decide(
                        new RoutingEvent.CallArrived(call(2, 1, START.plusSeconds(12))),
                        START.plusMillis(20));
        assertThat(urgent, contains(instanceOf(RoutingDecision.StartAttempt.class)));
    }

    private static CallRequest call(long id, Instant deadline) {
        return call(id, 0, deadline);
    }

    /** Creates a call whose caller leaves after two seconds without a response. */
    private static CallRequest call(long id, int priority, Instant deadline) {
        return new CallRequest(
                new CallId(id),
                MODEL,
                null,
                priority,
                deadline,
                0,
                Repetition.RESUMABLE,
                2,
                DeadlineScope.FULL_RESPONSE,
                deadline.minusSeconds(10),
                Prompt.UNKNOWN,
                CallOrigin.UNKNOWN);
    }
}
