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
 * A steady stream of calls through one decider. Each step lets a call arrive, begins the answer of
 * the oldest attempt and ends it, and so keeps as many calls open as were there at the start.
 */
final class RoutingWorkload {
    private static final Duration STEP = Duration.ofNanos(10_000);
    private static final Duration PATIENCE = Duration.ofHours(10);
    private static final int STEPS_PER_TIMER = 10_000;
    private static final int PREFIXES = 1_000;

    private final DefaultRoutingDecider mDecider;
    private final List<Target> mTargets;
    private final ArrayDeque<AttemptId> mRunning = new ArrayDeque<>();
    private Instant mNow = Instant.EPOCH;
    private long mCalls;
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

    /** Lets calls arrive that stay open. */
    void open(int calls) {
        for (int i = 0; i < calls; i++) {
            arrive();
        }
    }

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

    long decisions() {
        return mDecisions;
    }

    private void arrive() {
        long number = mCalls++;
        Target target = mTargets.get((int) (number % mTargets.size()));
        handle(
                new RoutingEvent.CallArrived(
                        new CallRequest(
                                new CallId(number),
                                target,
                                null,
                                0,
                                mNow.plus(PATIENCE),
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
