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
 * Carries out the planned changes of each runner, one order at a time.
 *
 * <p>Before a model is unloaded, the daemons are told that it is closing, and a pause lets calls
 * that were sent before arrive; a call that comes after the unload would be rejected.
 */
final class OrderSequencer {
    /** Runners report values of up to some hundred milliseconds ago. */
    static final Duration REPORT_LAG = Duration.ofMillis(150);

    /** Longer than a message to every daemon and the call it has just sent take. */
    static final Duration CLOSING_PAUSE = Duration.ofMillis(80);

    /** An adapter takes up to ten milliseconds while few adapters are on their way. */
    static final Duration ADAPTER_TIME = Duration.ofMillis(15);

    /** An unload of a model that runs no request takes about this long. */
    private static final Duration UNLOAD_TIME = Duration.ofMillis(60);

    private static final Duration FOLLOWER_PAUSE = Duration.ofMillis(40);
    private static final Duration RECHECK = Duration.ofMillis(200);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(300);
    private static final Duration UNREACHABLE_PAUSE = Duration.ofSeconds(1);

    private final Tenure mTenure;
    private final LoadPacer mPacer;

    OrderSequencer(Tenure tenure, LoadPacer pacer) {
        mTenure = tenure;
        mPacer = pacer;
    }

    /** Takes the next step of a runner, if it is due. */
    void advance(RunnerRecord record, ResidencyTurn turn) {
        if (!record.isUsable()) {
            record.dropSteps();
            return;
        }
        boolean follows = record.mayFollowUnload(turn.now());
        if (!follows && (!record.isConfirmed() || record.isChanging())) {
            readIfDue(record, turn);
            return;
        }
        ModelStep step = record.steps().peekFirst();
        if (step == null || !record.mayBeOrdered()) {
            return;
        }
        if (step.kind() == ResidencyOrderKind.UNLOAD) {
            unload(record, step, turn);
        } else {
            load(record, step, turn);
        }
    }

    /** No order precedes the reading, so a runner that must not be ordered is not read either. */
    private void readIfDue(RunnerRecord record, ResidencyTurn turn) {
        boolean mayOrder = mTenure.mayOrder(record.entry().id(), turn.now());
        if (!mayOrder || !record.isReadDue(turn.now())) {
            return;
        }
        record.reading();
        turn.add(new ResidencyDecision.ReadState(record.entry().id()));
    }

    private void unload(RunnerRecord record, ModelStep step, ResidencyTurn turn) {
        Instant closingSince = record.closing().get(step.model());
        if (closingSince == null) {
            record.closing().put(step.model(), turn.now());
            publish(record, Set.of(), turn);
            turn.add(new ResidencyDecision.ScheduleTimer(turn.now().plus(CLOSING_PAUSE)));
            return;
        }
        if (closingSince.plus(CLOSING_PAUSE).isAfter(turn.now())) {
            return;
        }
        send(record, step.kind(), new ModelReference(step.model(), null), step.reason(), turn);
    }

    private void load(RunnerRecord record, ModelStep step, ResidencyTurn turn) {
        if (record.megabytes(step.model(), 0) > record.freeMegabytes()) {
            record.dropSteps();
            publish(record, Set.of(), turn);
            return;
        }
        if (record.needsStore(step.model())) {
            if (!mPacer.allows(record.engine().loadsPerSecond(), turn.now())) {
                return;
            }
            mPacer.began(turn.now());
        }
        send(record, step.kind(), new ModelReference(step.model(), null), step.reason(), turn);
    }

    /** Sends an order to a runner whose count is known. */
    void send(
            RunnerRecord record,
            ResidencyOrderKind kind,
            ModelReference model,
            String reason,
            ResidencyTurn turn) {
        ResidencyOrder order =
                new ResidencyOrder(
                        mTenure.nextOrder(),
                        record.entry().id(),
                        kind,
                        model,
                        record.orders(),
                        mTenure.token());
        record.sent(order);
        turn.add(new ResidencyDecision.SendOrder(order, reason));
    }

    /** Handles the reply to an order. */
    void replied(RunnerRecord record, long number, ResidencyOrderReply reply, ResidencyTurn turn) {
        ResidencyOrder order = record.unanswered();
        if (order == null || order.number() != number) {
            return;
        }
        switch (reply) {
            case ACCEPTED -> accepted(record, order, turn);
            case FULFILLED -> fulfilled(record, order, turn);
            case CONFLICT -> conflict(record, turn);
            case UNKNOWN -> record.doubt(turn.now().plus(RETRY_PAUSE));
            case NOT_SENT -> record.doubt(turn.now().plus(UNREACHABLE_PAUSE));
            default -> {
                record.dropSteps();
                record.doubt(turn.now().plus(UNREACHABLE_PAUSE));
            }
        }
    }

    private void conflict(RunnerRecord record, ResidencyTurn turn) {
        if (!record.isFollowing()) {
            record.doubt(turn.now().plus(RETRY_PAUSE));
            return;
        }
        Instant nextTry = turn.now().plus(FOLLOWER_PAUSE);
        record.followerRejected(nextTry);
        turn.add(new ResidencyDecision.ScheduleTimer(nextTry));
    }

    private void accepted(RunnerRecord record, ResidencyOrder order, ResidencyTurn turn) {
        if (order.concernsAdapter()) {
            Instant heldAt = turn.now().plus(ADAPTER_TIME);
            record.acceptedAdapter(order, heldAt);
            turn.add(new ResidencyDecision.ScheduleTimer(heldAt));
            return;
        }
        Duration time = Duration.ZERO;
        if (order.kind() == ResidencyOrderKind.LOAD) {
            EngineModel model = record.engine().models().get(order.model().base());
            time = model == null ? Duration.ZERO : record.loadTime(model);
        }
        Instant nextRead = turn.now().plus(time).plus(REPORT_LAG);
        Instant firstFollower = turn.now().plus(UNLOAD_TIME);
        record.accepted(order, nextRead, firstFollower);
        record.loadEnd(nextRead);
        turn.add(new ResidencyDecision.ScheduleTimer(nextRead));
        if (order.kind() == ResidencyOrderKind.UNLOAD) {
            turn.add(new ResidencyDecision.ScheduleTimer(firstFollower));
        }
    }

    private void fulfilled(RunnerRecord record, ResidencyOrder order, ResidencyTurn turn) {
        if (order.concernsAdapter() && order.kind() == ResidencyOrderKind.UNLOAD) {
            record.acceptedAdapter(order, turn.now());
            return;
        }
        record.doubt(turn.now());
    }

    /** Handles what a runner told of itself. */
    void read(RunnerRecord record, RunnerState state, ResidencyTurn turn) {
        boolean news = record.adopt(state, turn.now(), RECHECK);
        if (news && !record.isChanging()) {
            publish(record, Set.of(), turn);
        }
        if (!record.isConfirmed() || record.isChanging()) {
            turn.add(new ResidencyDecision.ScheduleTimer(record.nextRead()));
        }
    }

    /** Handles that a runner did not tell its state. */
    void unread(RunnerRecord record, ResidencyTurn turn) {
        record.unread(turn.now().plus(UNREACHABLE_PAUSE));
    }

    /** Tells daemons what a runner holds. */
    void publish(RunnerRecord record, Set<MemberId> daemons, ResidencyTurn turn) {
        Set<ModelName> closing = record.closing().keySet();
        turn.add(
                new ResidencyDecision.PublishResidency(
                        new Residency(
                                record.entry().id(),
                                mTenure.token(),
                                mTenure.nextStatement(),
                                record.orders(),
                                record.heldModels(),
                                closing),
                        daemons));
    }
}
