package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.routing.Target;

/**
 * Loads models and adapters for which calls wait, and unloads others to free memory for them.
 *
 * <p>Nothing has to be persisted before an order is sent. A daemon that takes over reads the models
 * and the count of accepted orders from each runner. {@link RunnerRecord} explains why late orders
 * of a previous holder cannot exceed the memory together with its own orders.
 */
public final class DefaultResidencyDecider implements ResidencyDecider {
    /**
     * The minimum time between two plans for waiting calls. Daemons repeat their messages about
     * waiting calls, and each plan considers all of them, so a plan for each message would cost the
     * square of the backlog.
     */
    private static final Duration PLANNING_PERIOD = Duration.ofMillis(20);

    private static final Duration FLEET_PLANNING_PERIOD = Duration.ofMillis(100);

    private final Tenure mTenure = new Tenure();
    private final RunnerFleet mFleet = new RunnerFleet();
    private final DemandTracker mDemand = new DemandTracker();
    private final OrderSequencer mSequencer;
    private final ResidencyLoadPlanner mLoadPlanner;
    private final ResidencyAdapterPlanner mAdapterPlanner;
    private final ReadinessEstimator mReadinessEstimator;
    private final UnservedTargetReporter mUnservedTargetReporter;
    private Instant mNextPlanning = Instant.MIN;
    private Instant mNextFleetPlanning = Instant.MIN;

    /** Whether a timer for {@link #mNextPlanning} is scheduled. */
    private boolean mPlanningScheduled;

    /**
     * Creates a decider that sends no orders before its tenure begins.
     *
     * @param concurrentStoreLoads the largest number of concurrent loads from the weight store;
     *     fewer if they show to be slower together
     */
    public DefaultResidencyDecider(int concurrentStoreLoads) {
        mSequencer = new OrderSequencer(mTenure, new WeightStoreLoadRateLimiter());
        StoreConcurrency storeConcurrency = new StoreConcurrency(concurrentStoreLoads);
        mLoadPlanner = new ResidencyLoadPlanner(mFleet, mDemand, storeConcurrency);
        mAdapterPlanner = new ResidencyAdapterPlanner(mFleet, mDemand, mSequencer);
        mReadinessEstimator =
                new ReadinessEstimator(mFleet, mDemand, mLoadPlanner, storeConcurrency);
        mUnservedTargetReporter = new UnservedTargetReporter(mFleet, mDemand);
    }

    @Override
    public List<ResidencyDecision> decide(ResidencyEvent event, Instant now) {
        DecisionContext context = new DecisionContext(now, new ArrayList<>());
        handle(event, context);
        if (!mTenure.mayOrder(now)) {
            return context.decisions();
        }
        boolean isPlanningDue = !now.isBefore(mNextPlanning);
        if (isRepeatedMessage(event) && !isPlanningDue) {
            schedulePlanning(context);
            return context.decisions();
        }
        for (RunnerRecord record : mFleet.records()) {
            for (ModelReference adapter : record.completeIncoming(now)) {
                mAdapterPlanner.adapterLoaded(record, adapter, context);
            }
        }
        if (isPlanningDue) {
            plan(context);
        } else if (mayFreeRunner(event)) {
            schedulePlanning(context);
        }
        for (RunnerRecord record : mFleet.records()) {
            mSequencer.advance(record, context);
        }
        return context.decisions();
    }

    /** Returns whether an event is a message of a daemon, which the daemon repeats. */
    private static boolean isRepeatedMessage(ResidencyEvent event) {
        return event instanceof ResidencyEvent.LoadRequested
                || event instanceof ResidencyEvent.RunnerStated
                || event instanceof ResidencyEvent.DemandReported;
    }

    private static boolean mayFreeRunner(ResidencyEvent event) {
        return event instanceof ResidencyEvent.StateRead
                || event instanceof ResidencyEvent.OrderReplied;
    }

    private void schedulePlanning(DecisionContext context) {
        if (!mPlanningScheduled) {
            mPlanningScheduled = true;
            context.add(new ResidencyDecision.ScheduleTimer(mNextPlanning));
        }
    }

    /**
     * Plans for waiting calls. The whole fleet is planned less often, because the time for that
     * grows with the number of models and runners.
     */
    private void plan(DecisionContext context) {
        mPlanningScheduled = false;
        mNextPlanning = context.now().plus(PLANNING_PERIOD);
        List<Target.ServiceModelTarget> waiting = mDemand.waiting(context.now());
        mAdapterPlanner.plan(waiting, context);
        mLoadPlanner.planWaiting(waiting, context);
        if (!context.now().isBefore(mNextFleetPlanning)) {
            mNextFleetPlanning = context.now().plus(FLEET_PLANNING_PERIOD);
            mLoadPlanner.planFleet(context);
            mReadinessEstimator.report(waiting, context);
            mUnservedTargetReporter.report(context);
        }
    }

    private void handle(ResidencyEvent event, DecisionContext context) {
        if (event instanceof ResidencyEvent.ConfigurationChanged changed) {
            publishAll(mFleet.applyConfiguration(changed.configuration(), context.now()), context);
        } else if (event instanceof ResidencyEvent.RunnersListed listed) {
            publishAll(mFleet.applyRunners(listed.runners(), context.now()), context);
        } else if (event instanceof ResidencyEvent.DemandReported reported) {
            mDemand.applyReport(
                    reported.daemon(), reported.service(), reported.demands(), context.now());
        } else if (event instanceof ResidencyEvent.LoadRequested requested) {
            mDemand.applyRequest(
                    requested.daemon(), requested.target(), requested.waiting(), context.now());
            repeatStatements(requested, context);
        } else if (event instanceof ResidencyEvent.RunnerStated stated) {
            mFleet.applyStatement(stated.runner(), stated.statement(), context.now());
        } else if (event instanceof ResidencyEvent.TenureBegan began) {
            mTenure.begin(began, mFleet.ids());
            mFleet.records().forEach(record -> record.reset(context.now()));
        } else if (event instanceof ResidencyEvent.TenureEnded) {
            mTenure.end();
            mFleet.records().forEach(record -> record.reset(context.now()));
        } else {
            handleReply(event, context);
        }
    }

    /**
     * Publishes the runners that hold the requested model or adapter to the daemon again. A daemon
     * that requests a load does not know these runners, because it missed a statement.
     */
    private void repeatStatements(ResidencyEvent.LoadRequested requested, DecisionContext context) {
        if (!mTenure.mayOrder(context.now())) {
            return;
        }
        for (RunnerRecord record : mFleet.usable(requested.target().service())) {
            if (record.isConfirmed() && record.isRoutable(requested.target().model())) {
                mSequencer.publish(record, Set.of(requested.daemon()), context);
            }
        }
    }

    private void handleReply(ResidencyEvent event, DecisionContext context) {
        if (event instanceof ResidencyEvent.StateRead read) {
            RunnerRecord record = mFleet.record(read.runner());
            if (record != null && mTenure.mayOrder(context.now())) {
                mSequencer.stateRead(record, read.state(), context);
            }
        } else if (event instanceof ResidencyEvent.StateReadFailed readFailed) {
            RunnerRecord record = mFleet.record(readFailed.runner());
            if (record != null) {
                mSequencer.stateReadFailed(record, context);
            }
        } else if (event instanceof ResidencyEvent.OrderReplied replied) {
            RunnerRecord record = mFleet.record(replied.runner());
            if (record != null) {
                mSequencer.replied(record, replied.order(), replied.reply(), context);
            }
        }
    }

    private void publishAll(List<RunnerRecord> records, DecisionContext context) {
        if (mTenure.mayOrder(context.now())) {
            records.forEach(record -> mSequencer.publish(record, Set.of(), context));
        }
    }
}
