package org.oleanderspring.standin.service.query;

import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.service.ServiceState;

/** Handles requests for the execution counts, in total and by idempotency key. */
public final class ServiceLedgerResource implements Resource {
    private final ServiceState mState;

    /**
     * Creates the resource.
     *
     * @param state the service state
     */
    public ServiceLedgerResource(ServiceState state) {
        mState = state;
    }

    @Override
    public void handle(Exchange exchange) {
        exchange.reply(200, mState.toJson());
    }
}
