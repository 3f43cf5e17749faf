package org.oleanderspring.standin.keyvalue.query;

import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.keyvalue.CallCounters;

/** Handles requests for the call counters. */
public final class CallCountersResource implements Resource {
    private final CallCounters mCounters;

    /**
     * Creates the resource.
     *
     * @param counters the counters of calls
     */
    public CallCountersResource(CallCounters counters) {
        mCounters = counters;
    }

    @Override
    public void handle(Exchange exchange) {
        exchange.reply(200, mCounters.toJson());
    }
}
