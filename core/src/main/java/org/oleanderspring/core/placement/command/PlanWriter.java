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
 * <p>If the outcome of a write is unknown, the same plan is written again with the same expected
 * revision. At most one of these writes can take effect, because the first successful one changes
 * the revision. If a later attempt fails with a conflict, the identifier of the write in the stored
 * plan shows whether an earlier attempt took effect. After an attempt without a reply, the outcome
 * stays unknown even if a later attempt certainly failed, because the earlier one may still reach
 * the key-value service.
 */
final class PlanWriter {
    /** The delay until a write is repeated that failed without a conflict. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final CellName mCell;
    private final MemberId mSelf;
    private Revision mRevision = Revision.ABSENT;
    private FencingToken mTerm = FencingToken.NONE;
    private long mNumber;
    private long mWriteCount;
    private @Nullable Plan mInFlight;
    private boolean mOutcomeUnknown;
    private @Nullable Instant mRetryAt;

    PlanWriter(CellName cell, MemberId self) {
        mCell = cell;
        mSelf = self;
    }

    /** Continues from a plan that was read or written, and discards a write in flight. */
    void continueFrom(long number, FencingToken term, Revision revision) {
        mNumber = number;
        mTerm = term;
        mRevision = revision;
        mInFlight = null;
        mOutcomeUnknown = false;
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

    /** Starts the write of the next plan. */
    PlacementDecision.WritePlan write(List<Slot> slots) {
        mWriteCount++;
        PlanWriteId writeId = new PlanWriteId(mSelf, mWriteCount);
        Plan plan = new Plan(mCell, mNumber + 1, mTerm, mSelf, writeId, slots);
        mInFlight = plan;
        return new PlacementDecision.WritePlan(plan, mRevision);
    }

    /**
     * Completes the write in flight and returns its plan; empty if the reply belongs to another
     * write.
     */
    Optional<Plan> writeSucceeded(PlanWriteId writeId, Revision revision) {
        Plan plan = mInFlight;
        if (plan == null || !plan.mark().equals(writeId)) {
            return Optional.empty();
        }
        continueFrom(plan.number(), mTerm, revision);
        return Optional.of(plan);
    }

    /** Returns whether the write with this identifier is in flight. */
    boolean isInFlight(PlanWriteId writeId) {
        return mInFlight != null && mInFlight.mark().equals(writeId);
    }

    /** Records that the write in flight failed without a conflict. It is retried after a delay. */
    void writeFailed(PlanWriteFailure failure, Instant now) {
        mOutcomeUnknown |= failure instanceof PlanWriteFailure.OutcomeUnknown;
        mRetryAt = now.plus(RETRY_DELAY);
    }

    /**
     * Returns the retry of the write in flight if it is due. The retry writes {@code slots} if the
     * previous plan is known not to have been stored, and the same plan otherwise.
     */
    Optional<PlacementDecision.WritePlan> retry(List<Slot> slots, Instant now) {
        Plan plan = mInFlight;
        if (plan == null || mRetryAt == null || now.isBefore(mRetryAt)) {
            return Optional.empty();
        }
        mRetryAt = null;
        if (mOutcomeUnknown) {
            return Optional.of(new PlacementDecision.WritePlan(plan, mRevision));
        }
        return Optional.of(write(slots));
    }

    /**
     * Returns whether the write in flight may have taken effect, so that a retry must write the
     * same plan.
     */
    boolean isOutcomeUnknown() {
        return mOutcomeUnknown;
    }
}
