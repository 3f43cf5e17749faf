package org.oleanderspring.standin.engine.query;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.http.Exchange;

/** Shows the report, the cache events and the ledger. */
public final class EngineViews {
    private final EngineState mState;

    /**
     * Creates the views.
     *
     * @param state the state
     */
    public EngineViews(EngineState state) {
        mState = state;
    }

    /**
     * Shows the report as it was some time ago.
     *
     * @param exchange the request
     */
    public void report(Exchange exchange) {
        exchange.reply(200, mState.visibleReport());
    }

    /**
     * Shows the cache events after the number in the query.
     *
     * @param exchange the request
     */
    public void cacheEvents(Exchange exchange) {
        long after = exchange.queryNumber("after", 0);
        exchange.reply(200, mState.prefixCache().eventsAfter(after, mState.options().reportLag()));
    }

    /**
     * Shows what the engine truly did.
     *
     * @param exchange the request
     */
    public void ledger(Exchange exchange) {
        ObjectNode ledger = mState.ledger().toJson();
        ledger.put("memoryMegabytes", mState.options().memoryMegabytes());
        ledger.put("usedMegabytes", mState.usedMegabytes());
        exchange.reply(200, ledger);
    }
}
