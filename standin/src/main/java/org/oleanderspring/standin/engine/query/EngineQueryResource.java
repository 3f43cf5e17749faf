package org.oleanderspring.standin.engine.query;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleanderspring.standin.engine.CompletionAttempt;
import org.oleanderspring.standin.engine.CompletionAttemptState;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.http.Exchange;

/** Shows the report, the cache events and the ledger. */
public final class EngineQueryResource {
    private final EngineState mState;

    /**
     * Creates the views.
     *
     * @param state the state
     */
    public EngineQueryResource(EngineState state) {
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
        long after = exchange.queryLong("after", 0);
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
        ledger.put("waiting", waiting());
        exchange.reply(200, ledger);
    }

    private int waiting() {
        int waiting = 0;
        for (CompletionAttempt attempt : mState.attempts()) {
            if (attempt.state() == CompletionAttemptState.WAITING) {
                waiting++;
            }
        }
        return waiting;
    }
}
