package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.oleanderspring.core.fleet.ModelReference;

/**
 * Loads models and adapters for which calls wait, and unloads those that make way.
 *
 * <p>Nothing has to be written down before an order: a holder that takes over asks each runner for
 * its models and its count of accepted orders, and {@link RunnerRecord} says why orders of a holder
 * before cannot exceed the memory together with its own.
 */
public final class DefaultResidencyDecider implements ResidencyDecider {
    private static final Duration OVERVIEW_PERIOD = Duration.ofMillis(100);

    private final Tenure mTenure = new Tenure();
    private final RunnerFleet mFleet = new RunnerFleet();
    private final DemandBook mDemand = new DemandBook();
    private final OrderSequencer mOrders;
    private final ResidencyLoadPlanner mLoads;
    private final ResidentAdapterPlanner mAdapters;
    private final ReadinessEstimator mEstimates;
    private Instant mNextOverview = Instant.MIN;

    /**
     * Creates a decider that gives no orders before its tenure begins.
     *
     * @param storeLoadsAtOnce so many loads the weight store serves at once at full speed
     */
    public DefaultResidencyDecider(int storeLoadsAtOnce) {
        mOrders = new OrderSequencer(mTenure, new LoadPacer());
        mLoads = new ResidencyLoadPlanner(mFleet, mDemand, storeLoadsAtOnce);
        mAdapters = new ResidentAdapterPlanner(mFleet, mDemand, mOrders);
        mEstimates = new ReadinessEstimator(mFleet, mDemand, mLoads, storeLoadsAtOnce);
    }

    @Override
    public List<ResidencyDecision> decide(ResidencyEvent event, Instant now) {
        ResidencyTurn turn = new ResidencyTurn(now, new ArrayList<>());
        handle(event, turn);
        if (!mTenure.mayOrder(now)) {
            return turn.decisions();
        }
        for (RunnerRecord record : mFleet.records()) {
            for (ModelReference adapter : record.settleIncoming(now)) {
                mAdapters.settled(record, adapter, turn);
            }
        }
        plan(event, turn);
        for (RunnerRecord record : mFleet.records()) {
            mOrders.advance(record, turn);
        }
        return turn.decisions();
    }

    /**
     * Plans for waiting calls with each event that may concern them, and looks over the whole fleet
     * from time to time only, because that takes a time that grows with models and runners.
     */
    private void plan(ResidencyEvent event, ResidencyTurn turn) {
        boolean urgent =
                event instanceof ResidencyEvent.LoadRequested
                        || event instanceof ResidencyEvent.StateRead
                        || event instanceof ResidencyEvent.OrderReplied;
        boolean due = !turn.now().isBefore(mNextOverview);
        if (urgent || due) {
            mAdapters.plan(turn);
            mLoads.planWaiting(turn);
        }
        if (due) {
            mNextOverview = turn.now().plus(OVERVIEW_PERIOD);
            mLoads.planOverview(turn);
            mEstimates.tell(turn);
        }
    }

    private void handle(ResidencyEvent event, ResidencyTurn turn) {
        if (event instanceof ResidencyEvent.ConfigurationChanged changed) {
            publishAll(mFleet.configure(changed.configuration(), turn.now()), turn);
        } else if (event instanceof ResidencyEvent.RunnersListed listed) {
            publishAll(mFleet.list(listed.runners(), turn.now()), turn);
        } else if (event instanceof ResidencyEvent.DemandReported reported) {
            mDemand.reported(reported.daemon(), reported.service(), reported.demands(), turn.now());
        } else if (event instanceof ResidencyEvent.LoadRequested requested) {
            mDemand.requested(
                    requested.daemon(), requested.target(), requested.waiting(), turn.now());
        } else if (event instanceof ResidencyEvent.TenureBegan began) {
            mTenure.begin(began, mFleet.ids());
            mFleet.records().forEach(record -> record.unconfirm(turn.now()));
        } else if (event instanceof ResidencyEvent.TenureEnded) {
            mTenure.end();
            mFleet.records().forEach(record -> record.unconfirm(turn.now()));
        } else {
            handleReply(event, turn);
        }
    }

    private void handleReply(ResidencyEvent event, ResidencyTurn turn) {
        if (event instanceof ResidencyEvent.StateRead read) {
            RunnerRecord record = mFleet.record(read.runner());
            if (record != null && mTenure.mayOrder(turn.now())) {
                mOrders.read(record, read.state(), turn);
            }
        } else if (event instanceof ResidencyEvent.StateReadFailed unread) {
            RunnerRecord record = mFleet.record(unread.runner());
            if (record != null) {
                mOrders.unread(record, turn);
            }
        } else if (event instanceof ResidencyEvent.OrderReplied replied) {
            RunnerRecord record = mFleet.record(replied.runner());
            if (record != null) {
                mOrders.replied(record, replied.order(), replied.reply(), turn);
            }
        }
    }

    private void publishAll(List<RunnerRecord> records, ResidencyTurn turn) {
        if (mTenure.mayOrder(turn.now())) {
            records.forEach(record -> mOrders.publish(record, Set.of(), turn));
        }
    }
}
