package org.oleanderspring.standin.vmlist.query;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.LaggedValue;
import org.oleanderspring.standin.http.Resource;

/** Handles requests for the VM list, whose changes are visible after the configured lag. */
public final class VmListResource implements Resource {
    private final LaggedValue<JsonNode> mList;

    /**
     * Creates the resource.
     *
     * @param list the VM list
     */
    public VmListResource(LaggedValue<JsonNode> list) {
        mList = list;
    }

    @Override
    public void handle(Exchange exchange) {
        exchange.reply(200, mList.visibleValue(Instant.now()));
    }
}
