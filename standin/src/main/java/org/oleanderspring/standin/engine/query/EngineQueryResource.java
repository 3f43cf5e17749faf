package org.oleanderspring.standin.engine.query;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleanderspring.standin.engine.CompletionAttempt;
import org.oleanderspring.standin.engine.CompletionAttemptState;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.http.Exchange;

/** Handles requests for the report, the cache events and the ledger. */
public final class EngineQueryResource {
    private final EngineState mState;

    /**
     * Creates the resource.
     *
     * @param state the engine state
     */
    public EngineQueryResource(EngineState state) {
        mState = state;
    }

    /**
     * Sends the report, which lags by the configured time.
     *
     * @param exchange the request and its response
     */
    public void report(Exchange exchange) {
        exchange.reply(200, mState.visibleReport());
    }

    /**
     * Sends the visible cache events after the sequence number in the query parameter {@code
     * after}.
     *
     * @param exchange the request and its response
     */
    public void cacheEvents(Exchange exchange) {
        long after = exchange.queryLong("after", 0);
        exchange.reply(200, mState.prefixCache().eventsAfter(after, mState.options().reportLag()));
    }

    /**
     * Sends the record of started attempts and received orders, the memory usage in MB and the
     * number of waiting attempts, all without a lag.
     *
     * @param exchange the request and its response
     */
    public void ledger(Exchange exchange) {
        ObjectNode ledger = mState.ledger().toJson();
        ledger.put("memoryMegabytes", mState.options().memoryMegabytes());
        ledger.put("usedMegabytes", mState.usedMegabytes());
        ledger.put("waiting", countWaiting());
        exchange.reply(200, ledger);
    }

    private int countWaiting() {
        int waiting = 0;
        for (CompletionAttempt attempt : mState.attempts()) {
            if (attempt.state() == CompletionAttemptState.WAITING) {
                waiting++;
            }
        }
        return waiting;
    }
}
