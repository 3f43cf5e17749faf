package org.oleanderspring.standin.keyvalue;

import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.http.StateThread;

/** Counts each call and applies budgets and faults to it before it is carried out. */
public final class CallFilter {
    private final StateThread mDuty;
    private final KeyValueFaults mFaults;
    private final CallCounters mCounts;
    private final TokenBucket mReads;
    private final TokenBucket mWrites;

    /**
     * Creates a gate.
     *
     * @param duty owns the state
     * @param faults the faults in force
     * @param counts counts the calls
     * @param options the budgets
     */
    public CallFilter(
            StateThread duty, KeyValueFaults faults, CallCounters counts, KeyValueOptions options) {
        mDuty = duty;
        mFaults = faults;
        mCounts = counts;
        mReads = new TokenBucket(options.readsPerSecond(), System.nanoTime());
        mWrites = new TokenBucket(options.writesPerSecond(), System.nanoTime());
    }

    /**
     * Puts the gate before a resource.
     *
     * @param kind how a call is counted
     * @param resource runs on the duty's thread
     * @return the guarded resource
     */
    public Resource wrap(CallKind kind, Resource resource) {
        return exchange -> mDuty.handleRequest(exchange, () -> filter(kind, resource, exchange));
    }

    private void filter(CallKind kind, Resource resource, Exchange exchange) {
        if (mFaults.isDown()) {
            exchange.closeConnection();
            return;
        }
        mCounts.count(exchange.path());
        TokenBucket budget = kind == CallKind.READ ? mReads : mWrites;
        if (!budget.tryTake(System.nanoTime())) {
            mCounts.countOverBudget();
            exchange.replyError(429, "over_budget", "too many calls a second: " + kind);
            return;
        }
        if (kind == CallKind.WRITE && mFaults.consumeLostReply()) {
            exchange.suppressReply();
        }
        if (mFaults.delay().isZero()) {
            resource.handle(exchange);
            return;
        }
        mDuty.schedule(
                mFaults.delay(),
                () -> mDuty.handleRequest(exchange, () -> resource.handle(exchange)));
    }
}
