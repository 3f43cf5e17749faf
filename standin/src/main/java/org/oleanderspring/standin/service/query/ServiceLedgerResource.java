package org.oleanderspring.standin.service.query;

import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.service.ServiceState;

/** Shows how often each call truly ran. */
public final class ServiceLedgerResource implements Resource {
    private final ServiceState mState;

    /**
     * Creates the resource.
     *
     * @param state the state
     */
    public ServiceLedgerResource(ServiceState state) {
        mState = state;
    }

    @Override
    public void handle(Exchange exchange) {
        exchange.reply(200, mState.toJson());
    }
}
