package org.oleanderspring.standin.keyvalue;

import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.http.StateThread;

/**
 * Counts each call and applies the rate limits and injected faults before the call is executed.
 *
 * <p>While the service is down, calls are neither counted nor charged to a rate limit. An injected
 * delay applies after the rate limit, so a delayed call is charged when it arrives.
 */
public final class CallFilter {
    private final StateThread mStateThread;
    private final KeyValueFaults mFaults;
    private final CallCounters mCounters;
    private final TokenBucket mReadBucket;
    private final TokenBucket mWriteBucket;

    /**
     * Creates a filter.
     *
     * @param stateThread the thread that owns the state
     * @param faults the injected faults
     * @param counters the counters of calls
     * @param options the rate limits
     */
    public CallFilter(
            StateThread stateThread,
            KeyValueFaults faults,
            CallCounters counters,
            KeyValueOptions options) {
        mStateThread = stateThread;
        mFaults = faults;
        mCounters = counters;
        mReadBucket = new TokenBucket(options.readsPerSecond(), System.nanoTime());
        mWriteBucket = new TokenBucket(options.writesPerSecond(), System.nanoTime());
    }

    /**
     * Wraps a resource with this filter.
     *
     * @param kind the rate limit that applies
     * @param resource the resource, which runs on the state thread
     * @return the wrapped resource, which may be called on any thread
     */
    public Resource wrap(CallKind kind, Resource resource) {
        return exchange ->
                mStateThread.handleRequest(exchange, () -> filter(kind, resource, exchange));
    }

    private void filter(CallKind kind, Resource resource, Exchange exchange) {
        if (mFaults.isDown()) {
            exchange.closeConnection();
            return;
        }
        mCounters.count(exchange.path());
        TokenBucket bucket = kind == CallKind.READ ? mReadBucket : mWriteBucket;
        if (!bucket.tryTake(System.nanoTime())) {
            mCounters.countOverBudget();
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
        mStateThread.schedule(
                mFaults.delay(),
                () -> mStateThread.handleRequest(exchange, () -> resource.handle(exchange)));
    }
}
