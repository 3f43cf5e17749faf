package org.oleanderspring.standin.keyvalue;

import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.http.StateDuty;

/** Counts each call and applies budgets and faults to it before it is carried out. */
public final class CallGate {
    private final StateDuty mDuty;
    private final KeyValueFaults mFaults;
    private final CallCounts mCounts;
    private final Budget mReads;
    private final Budget mWrites;

    /**
     * Creates a gate.
     *
     * @param duty owns the state
     * @param faults the faults in force
     * @param counts counts the calls
     * @param options the budgets
     */
    public CallGate(
            StateDuty duty, KeyValueFaults faults, CallCounts counts, KeyValueOptions options) {
        mDuty = duty;
        mFaults = faults;
        mCounts = counts;
        mReads = new Budget(options.readsPerSecond(), System.nanoTime());
        mWrites = new Budget(options.writesPerSecond(), System.nanoTime());
    }

    /**
     * Puts the gate before a resource.
     *
     * @param kind how a call is counted
     * @param resource runs on the duty's thread
     * @return the guarded resource
     */
    public Resource guard(CallKind kind, Resource resource) {
        return exchange -> mDuty.handle(exchange, () -> admit(kind, resource, exchange));
    }

    private void admit(CallKind kind, Resource resource, Exchange exchange) {
        if (mFaults.isDown()) {
            exchange.drop();
            return;
        }
        mCounts.count(exchange.path());
        Budget budget = kind == CallKind.READ ? mReads : mWrites;
        if (!budget.take(System.nanoTime())) {
            mCounts.countOverBudget();
            exchange.replyError(429, "over_budget", "too many calls a second: " + kind);
            return;
        }
        if (kind == CallKind.WRITE && mFaults.takeLostReply()) {
            exchange.loseReply();
        }
        if (mFaults.delay().isZero()) {
            resource.handle(exchange);
            return;
        }
        mDuty.after(mFaults.delay(), () -> mDuty.handle(exchange, () -> resource.handle(exchange)));
    }
}
