package org.oleanderspring.bench.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.command.DefaultRoutingDecider;
import org.oleanderspring.core.routing.command.EndpointSelector;
import org.oleanderspring.core.routing.command.QueueUntilDeadlinePolicy;
import org.oleanderspring.core.routing.command.RoutingDecision;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.core.routing.command.SafeRetryPolicy;

/**
 * A steady stream of calls through one routing decider. In each step a call arrives, and the answer
 * of the oldest attempt begins and ends, so that the number of open calls stays constant as long as
 * attempts are running.
 */
final class RoutingWorkload {
    private static final Duration STEP = Duration.ofNanos(10_000);

    /** So long that no call reaches its deadline. */
    private static final Duration CALLER_TIMEOUT = Duration.ofHours(10);

    private static final int STEPS_PER_TIMER = 10_000;

    /** The number of different prompt prefixes. */
    private static final int PREFIXES = 1_000;

    private final DefaultRoutingDecider mDecider;
    private final List<Target> mTargets;
    private final ArrayDeque<AttemptId> mRunning = new ArrayDeque<>();
    private Instant mNow = Instant.EPOCH;
    private long mNextCall;
    private long mDecisions;

    RoutingWorkload(EndpointSelector selector, RoutingTable table, int queueLimit) {
        mDecider =
                new DefaultRoutingDecider(
                        selector, new QueueUntilDeadlinePolicy(), new SafeRetryPolicy());
        mTargets = new ArrayList<>(table.replicas().keySet());
        handle(new RoutingEvent.AuthorityChanged(true));
        RoutingLimits limits = RoutingLimits.DEFAULT;
        handle(
                new RoutingEvent.LimitsChanged(
                        new RoutingLimits(
                                queueLimit,
                                limits.attemptLimit(),
                                limits.retryBudgetPercent(),
                                limits.activationInterval())));
        changeTable(table);
    }

    void changeTable(RoutingTable table) {
        handle(new RoutingEvent.TableChanged(table));
    }

    /** Adds calls without completing older ones, which raises the number of open calls. */
    void openCalls(int calls) {
        for (int i = 0; i < calls; i++) {
            arrive();
        }
    }

    /**
     * Runs steps of 10 microseconds of virtual time. The timer fires in the first step and every
     * 10,000 steps after it.
     */
    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            mNow = mNow.plus(STEP);
            arrive();
            AttemptId oldest = mRunning.poll();
            if (oldest != null) {
                handle(new RoutingEvent.ResponseBegan(oldest));
                handle(new RoutingEvent.AttemptFinished(oldest, new AttemptOutcome.Completed()));
            }
            if (i % STEPS_PER_TIMER == 0) {
                handle(new RoutingEvent.TimerFired());
            }
        }
    }

    /** Returns the number of decisions so far. */
    long decisions() {
        return mDecisions;
    }

    private void arrive() {
        long number = mNextCall++;
        Target target = mTargets.get((int) (number % mTargets.size()));
        handle(
                new RoutingEvent.CallArrived(
                        new CallRequest(
                                new CallId(number),
                                target,
                                null,
                                0,
                                mNow.plus(CALLER_TIMEOUT),
                                // Not 0, which means that the prefix is unknown.
                                1 + number % PREFIXES)));
    }

    private void handle(RoutingEvent event) {
        List<RoutingDecision> decisions = mDecider.decide(event, mNow);
        mDecisions += decisions.size();
        for (RoutingDecision decision : decisions) {
            if (decision instanceof RoutingDecision.StartAttempt start) {
                mRunning.add(start.attempt());
            }
        }
    }
}
