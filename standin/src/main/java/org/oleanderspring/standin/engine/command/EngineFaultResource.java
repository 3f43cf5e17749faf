package org.oleanderspring.standin.engine.command;

import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.Resource;

/**
 * Handles requests that set {@link org.oleanderspring.standin.engine.EngineFaults}. The report is
 * updated, since it shows whether the engine is draining.
 */
public final class EngineFaultResource implements Resource {
    private final EngineState mState;

    /**
     * Creates the resource.
     *
     * @param state the engine state
     */
    public EngineFaultResource(EngineState state) {
        mState = state;
    }

    @Override
    public void handle(Exchange exchange) {
        mState.faults().update(exchange.json());
        mState.updateReport();
        exchange.reply(200, Json.object());
    }
}
