package org.oleanderspring.core.placement.command;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.PlanWriteFailure;

/** Stores one plan with compare-and-swap, and records the orders of all accepted plans. */
final class FakePlanStore {
    private final Set<OrderId> mWrittenOrders = new HashSet<>();
    private @Nullable Plan mPlan;
    private long mRevision;

    @Nullable Plan plan() {
        return mPlan;
    }

    Revision revision() {
        return new Revision(mRevision);
    }

    boolean containsOrder(OrderId order) {
        return mWrittenOrders.contains(order);
    }

    /** Writes a plan; returns null on success and the conflict otherwise. */
    PlanWriteFailure.@Nullable Conflict write(Plan plan, Revision expected) {
        if (expected.value() != mRevision) {
            return new PlanWriteFailure.Conflict(mPlan, revision());
        }
        mPlan = plan;
        mRevision++;
        plan.slots().forEach(slot -> mWrittenOrders.add(slot.order().id()));
        return null;
    }
}
