package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.PlanWriteFailure;
import org.oleanderspring.core.placement.PlanWriteId;
import org.oleanderspring.core.placement.Slot;

/**
 * Writes the plan of a cell by compare-and-swap, one write at a time.
 *
 * <p>When the fate of a write is unknown, the same plan is written again with the same expected
 * revision. At most one of these writes can take effect, since the first one that does moves the
 * revision. If a later one meets a conflict, the mark of the plan found tells whether an earlier
 * one had taken effect. Once one attempt had no reply, an attempt that certainly failed does not
 * end the uncertainty, because the earlier attempt may still arrive.
 */
final class PlanWriter {
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final CellName mCell;
    private final MemberId mSelf;
    private Revision mRevision = Revision.ABSENT;
    private FencingToken mTerm = FencingToken.NONE;
    private long mNumber;
    private long mWrites;
    private @Nullable Plan mInFlight;
    private boolean mUncertain;
    private @Nullable Instant mRetryAt;

    PlanWriter(CellName cell, MemberId self) {
        mCell = cell;
        mSelf = self;
    }

    /** Continues after a plan that was read; a write in flight is forgotten. */
    void start(long number, FencingToken term, Revision revision) {
        mNumber = number;
        mTerm = term;
        mRevision = revision;
        mInFlight = null;
        mUncertain = false;
        mRetryAt = null;
    }

    FencingToken term() {
        return mTerm;
    }

    Revision revision() {
        return mRevision;
    }

    boolean isIdle() {
        return mInFlight == null;
    }

    /** Starts a write. */
    PlacementDecision.WritePlan write(List<Slot> slots) {
        mWrites++;
        PlanWriteId mark = new PlanWriteId(mSelf, mWrites);
        Plan plan = new Plan(mCell, mNumber + 1, mTerm, mSelf, mark, slots);
        mInFlight = plan;
        return new PlacementDecision.WritePlan(plan, mRevision);
    }

    /** Returns the plan if the answer belongs to the write in flight. */
    Optional<Plan> written(PlanWriteId mark, Revision revision) {
        Plan plan = mInFlight;
        if (plan == null || !plan.mark().equals(mark)) {
            return Optional.empty();
        }
        start(plan.number(), mTerm, revision);
        return Optional.of(plan);
    }

    /** Returns whether the write in flight has this mark. */
    boolean isInFlight(PlanWriteId mark) {
        return mInFlight != null && mInFlight.mark().equals(mark);
    }

    /** Notes a write in flight that failed without a conflict; it is tried again later. */
    void failed(PlanWriteFailure failure, Instant now) {
        mUncertain |= failure instanceof PlanWriteFailure.OutcomeUnknown;
        mRetryAt = now.plus(RETRY_DELAY);
    }

    /**
     * Returns the write to repeat if it is time; {@code slots} replace a plan that cannot exist.
     */
    Optional<PlacementDecision.WritePlan> retry(List<Slot> slots, Instant now) {
        Plan plan = mInFlight;
        if (plan == null || mRetryAt == null || now.isBefore(mRetryAt)) {
            return Optional.empty();
        }
        mRetryAt = null;
        if (mUncertain) {
            return Optional.of(new PlacementDecision.WritePlan(plan, mRevision));
        }
        return Optional.of(write(slots));
    }

    /** Returns whether a write that is tried again may differ from the one before. */
    boolean isUncertain() {
        return mUncertain;
    }
}
