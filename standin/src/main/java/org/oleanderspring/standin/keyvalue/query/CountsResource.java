package org.oleanderspring.standin.keyvalue.query;

import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.keyvalue.CallCounters;

/** Shows how many calls the service received. */
public final class CountsResource implements Resource {
    private final CallCounters mCounts;

    /**
     * Creates the resource.
     *
     * @param counts the counts
     */
    public CountsResource(CallCounters counts) {
        mCounts = counts;
    }

    @Override
    public void handle(Exchange exchange) {
        exchange.reply(200, mCounts.toJson());
    }
}
