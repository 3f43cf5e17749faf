package org.oleanderspring.standin.keyvalue.query;

import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.keyvalue.CallCounts;

/** Shows how many calls the service received. */
public final class CountsResource implements Resource {
    private final CallCounts mCounts;

    /**
     * Creates the resource.
     *
     * @param counts the counts
     */
    public CountsResource(CallCounts counts) {
        mCounts = counts;
    }

    @Override
    public void handle(Exchange exchange) {
        exchange.reply(200, mCounts.toJson());
    }
}
