package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.residency.UnservedCause;
import org.oleanderspring.core.routing.Target;

/**
 * Reports the models and adapters that calls have asked for during some seconds while no runner
 * holds them, with the cause.
 */
final class UnservedTargetReporter {
    private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);

    /** Longer than a load from a runner's disk, which needs no report. */
    private static final Duration MIN_UNSERVED = Duration.ofSeconds(2);

    /** Bounds the number of reports about one target. */
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(5);

    private final RunnerFleet mFleet;
    private final DemandTracker mDemand;
    private final Map<Target.ServiceModelTarget, Instant> mReportedAt = new HashMap<>();
    private Instant mNextCheck = Instant.MIN;

    UnservedTargetReporter(RunnerFleet fleet, DemandTracker demand) {
        mFleet = fleet;
        mDemand = demand;
    }

    /** Reports the unserved targets if a check is due. */
    void report(DecisionContext context) {
        Instant now = context.now();
        if (now.isBefore(mNextCheck)) {
            return;
        }
        mNextCheck = now.plus(CHECK_PERIOD);
        mReportedAt.values().removeIf(at -> at.plus(REPORT_INTERVAL).isBefore(now));
        mDemand.unservedSince(now).forEach((target, since) -> check(target, since, context));
    }

    private void check(Target.ServiceModelTarget target, Instant since, DecisionContext context) {
        if (isHeld(target)) {
            mDemand.markServed(target);
            return;
        }
        boolean isRecent = since.plus(MIN_UNSERVED).isAfter(context.now());
        if (isRecent || mReportedAt.containsKey(target)) {
            return;
        }
        mReportedAt.put(target, context.now());
        context.add(
                new ResidencyDecision.ReportUnserved(
                        target,
                        Duration.between(since, context.now()),
                        mDemand.waiting(target, context.now()),
                        cause(target, context.now())));
    }

    private boolean isHeld(Target.ServiceModelTarget target) {
        return mFleet.usable(target.service()).stream()
                .anyMatch(record -> record.isRoutable(target.model()));
    }

    private UnservedCause cause(Target.ServiceModelTarget target, Instant now) {
        List<RunnerRecord> records = mFleet.usable(target.service());
        return target.model().adapter() == null
                ? modelCause(target, records)
                : adapterCause(target.model(), records, now);
    }

    private UnservedCause modelCause(Target.ServiceModelTarget target, List<RunnerRecord> records) {
        ModelName model = target.model().base();
        if (mFleet.isLoading(target.service(), model)) {
            return UnservedCause.LOADING;
        }
        if (mFleet.copies(target.service(), model) == 0) {
            return UnservedCause.NO_COPY;
        }
        boolean canPlan =
                records.stream().anyMatch(record -> record.hasCopy(model) && record.canPlan());
        return canPlan ? UnservedCause.NO_ROOM : UnservedCause.RUNNERS_BUSY;
    }

    private static UnservedCause adapterCause(
            ModelReference adapter, List<RunnerRecord> records, Instant now) {
        UnservedCause cause = UnservedCause.BASE_NOT_HELD;
        for (RunnerRecord record : records) {
            if (record.isIncoming(adapter, now)) {
                return UnservedCause.LOADING;
            }
            if (!record.isRoutable(adapter.base())) {
                continue;
            }
            if (record.mayBeOrdered() && !record.isExecutingOrder()) {
                cause = UnservedCause.NO_ROOM;
            } else if (cause == UnservedCause.BASE_NOT_HELD) {
                cause = UnservedCause.RUNNERS_BUSY;
            }
        }
        return cause;
    }
}
