package org.oleanderspring.core.placement.command;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.PlanWriteFailure;

/** The key of one plan with compare-and-swap; remembers all orders of accepted plans. */
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

    boolean knows(OrderId order) {
        return mWrittenOrders.contains(order);
    }

    /** Returns null if the plan was written. */
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
