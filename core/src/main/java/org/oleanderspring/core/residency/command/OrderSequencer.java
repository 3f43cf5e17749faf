package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.residency.ResidencyOrderKind;
import org.oleanderspring.core.residency.ResidencyOrderReply;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.runner.RunnerState;

/**
 * Executes the planned steps of each runner, one order at a time.
 *
 * <p>Before a model is unloaded, it is announced to the daemons as closing. The unload order
 * follows after a delay, so that calls that were sent before the announcement still reach the
 * model. A call that arrives after the unload would be rejected.
 *
 * <p>While an unload is in progress, the next order may be sent early (see {@link RunnerRecord}).
 */
final class OrderSequencer {
    /**
     * Added to the expected end of an operation before the state is read, because the state that a
     * runner returns may be about a hundred milliseconds old.
     */
    static final Duration REPORT_LAG = Duration.ofMillis(150);

    /** Longer than it takes to notify every daemon and for their last calls to arrive. */
    static final Duration CLOSING_PAUSE = Duration.ofMillis(80);

    /**
     * The time after which an accepted adapter load is assumed to be complete. A load takes up to
     * 10 ms while few adapters are being loaded.
     */
    static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(15);

    /** The approximate time to unload a model that serves no request. */
    private static final Duration UNLOAD_TIME = Duration.ofMillis(60);

    /** The pause after the runner rejected an early order, until the order is sent again. */
    private static final Duration EARLY_ORDER_RETRY_PAUSE = Duration.ofMillis(40);

    /** The interval at which the state is read until it includes the effect of the last order. */
    private static final Duration RECHECK_INTERVAL = Duration.ofMillis(200);

    /** The pause before the state is read after a conflict or an order without a reply. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(300);

    /**
     * The pause before the state is read after an order was not sent or was rejected for another
     * reason than a conflict, or after the state could not be read.
     */
    private static final Duration UNREACHABLE_PAUSE = Duration.ofSeconds(1);

    private final Tenure mTenure;
    private final WeightStoreLoadRateLimiter mLoadRateLimiter;

    OrderSequencer(Tenure tenure, WeightStoreLoadRateLimiter loadRateLimiter) {
        mTenure = tenure;
        mLoadRateLimiter = loadRateLimiter;
    }

    /** Executes the next step of a runner, or reads its state, if that is due. */
    void advance(RunnerRecord record, DecisionContext context) {
        if (!record.isUsable()) {
            record.dropSteps();
            return;
        }
        boolean isEarlyOrder = record.mayOrderDuringUnload(context.now());
        if (!isEarlyOrder && (!record.isConfirmed() || record.isExecutingOrder())) {
            readIfDue(record, context);
            return;
        }
        ModelStep step = record.steps().peekFirst();
        if (step == null || !record.mayBeOrdered()) {
            return;
        }
        if (step.kind() == ResidencyOrderKind.UNLOAD) {
            unload(record, step, context);
        } else {
            load(record, step, context);
        }
    }

    /**
     * Requests the state of a runner if that is due. Reading only prepares orders, so it is skipped
     * while orders to the runner are not allowed.
     */
    private void readIfDue(RunnerRecord record, DecisionContext context) {
        boolean mayOrder = mTenure.mayOrder(record.registration().id(), context.now());
        if (!mayOrder || !record.isReadDue(context.now())) {
            return;
        }
        record.readStarted();
        context.add(new ResidencyDecision.ReadState(record.registration().id()));
    }

    private void unload(RunnerRecord record, ModelStep step, DecisionContext context) {
        Instant closingSince = record.closing().get(step.model());
        if (closingSince == null) {
            record.closing().put(step.model(), context.now());
            publish(record, Set.of(), context);
            context.add(new ResidencyDecision.ScheduleTimer(context.now().plus(CLOSING_PAUSE)));
            return;
        }
        if (closingSince.plus(CLOSING_PAUSE).isAfter(context.now())) {
            return;
        }
        send(record, step.kind(), new ModelReference(step.model(), null), step.reason(), context);
    }

    private void load(RunnerRecord record, ModelStep step, DecisionContext context) {
        if (record.megabytes(step.model(), 0) > record.freeMegabytes()) {
            record.dropSteps();
            publish(record, Set.of(), context);
            return;
        }
        if (record.needsStore(step.model())) {
            if (!mLoadRateLimiter.allows(record.engine().loadsPerSecond(), context.now())) {
                return;
            }
            mLoadRateLimiter.loadStarted(context.now());
        }
        send(record, step.kind(), new ModelReference(step.model(), null), step.reason(), context);
    }

    /** Sends an order to a runner whose count of accepted orders is known. */
    void send(
            RunnerRecord record,
            ResidencyOrderKind kind,
            ModelReference model,
            String reason,
            DecisionContext context) {
        ResidencyOrder order =
                new ResidencyOrder(
                        mTenure.nextOrder(),
                        record.registration().id(),
                        kind,
                        model,
                        record.acceptedOrders(),
                        mTenure.token());
        record.orderSent(order);
        context.add(new ResidencyDecision.SendOrder(order, reason));
    }

    /** Processes the reply to an order. Replies to other orders than the last one are ignored. */
    void replied(
            RunnerRecord record, long number, ResidencyOrderReply reply, DecisionContext context) {
        ResidencyOrder order = record.unanswered();
        if (order == null || order.number() != number) {
            return;
        }
        switch (reply) {
            case ACCEPTED -> accepted(record, order, context);
            case FULFILLED -> fulfilled(record, order, context);
            case CONFLICT -> conflict(record, context);
            case UNKNOWN -> record.invalidate(context.now().plus(RETRY_PAUSE));
            case NOT_SENT -> record.invalidate(context.now().plus(UNREACHABLE_PAUSE));
            default -> {
                record.dropSteps();
                record.invalidate(context.now().plus(UNREACHABLE_PAUSE));
            }
        }
    }

    private void conflict(RunnerRecord record, DecisionContext context) {
        if (!record.isEarlyOrder()) {
            record.invalidate(context.now().plus(RETRY_PAUSE));
            return;
        }
        Instant nextTry = context.now().plus(EARLY_ORDER_RETRY_PAUSE);
        record.earlyOrderRejected(nextTry);
        context.add(new ResidencyDecision.ScheduleTimer(nextTry));
    }

    private void accepted(RunnerRecord record, ResidencyOrder order, DecisionContext context) {
        if (order.isForAdapter()) {
            Instant heldAt = context.now().plus(ADAPTER_LOAD_TIME);
            record.adapterOrderAccepted(order, heldAt);
            context.add(new ResidencyDecision.ScheduleTimer(heldAt));
            return;
        }
        Duration loadTime = Duration.ZERO;
        if (order.kind() == ResidencyOrderKind.LOAD) {
            EngineModel model = record.engine().models().get(order.model().base());
            loadTime = model == null ? Duration.ZERO : record.loadTime(model);
        }
        Instant nextRead = context.now().plus(loadTime).plus(REPORT_LAG);
        Instant firstEarlyOrder = context.now().plus(UNLOAD_TIME);
        record.orderAccepted(order, nextRead, firstEarlyOrder);
        record.setLoadEnd(nextRead);
        context.add(new ResidencyDecision.ScheduleTimer(nextRead));
        if (order.kind() == ResidencyOrderKind.UNLOAD) {
            context.add(new ResidencyDecision.ScheduleTimer(firstEarlyOrder));
        }
    }

    private void fulfilled(RunnerRecord record, ResidencyOrder order, DecisionContext context) {
        if (order.isForAdapter() && order.kind() == ResidencyOrderKind.UNLOAD) {
            record.adapterOrderAccepted(order, context.now());
            return;
        }
        record.invalidate(context.now());
    }

    /** Processes the state that a runner returned. */
    void stateRead(RunnerRecord record, RunnerState state, DecisionContext context) {
        boolean applied = record.applyState(state, context.now(), RECHECK_INTERVAL);
        if (applied && !record.isExecutingOrder()) {
            publish(record, Set.of(), context);
        }
        if (!record.isConfirmed() || record.isExecutingOrder()) {
            context.add(new ResidencyDecision.ScheduleTimer(record.nextRead()));
        }
    }

    /** Schedules another read after the state of a runner could not be read. */
    void stateReadFailed(RunnerRecord record, DecisionContext context) {
        record.readFailed(context.now().plus(UNREACHABLE_PAUSE));
    }

    /** Publishes the models of a runner to the given daemons, or to all if the set is empty. */
    void publish(RunnerRecord record, Set<MemberId> daemons, DecisionContext context) {
        Set<ModelName> closing = record.closing().keySet();
        context.add(
                new ResidencyDecision.PublishResidency(
                        new Residency(
                                record.registration().id(),
                                mTenure.token(),
                                mTenure.nextStatement(),
                                record.acceptedOrders(),
                                record.loadedModels(),
                                closing),
                        daemons));
    }
}
