package org.oleanderspring.standin.vmlist.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.LaggedValue;
import org.oleanderspring.standin.http.Resource;

/**
 * Handles requests that replace the VM list. A document without the arrays {@code vms} and {@code
 * entries} is rejected with 400; their elements are not checked.
 */
public final class VmListReplaceResource implements Resource {
    private final LaggedValue<JsonNode> mList;

    /**
     * Creates the resource.
     *
     * @param list the VM list
     */
    public VmListReplaceResource(LaggedValue<JsonNode> list) {
        mList = list;
    }

    @Override
    public void handle(Exchange exchange) {
        JsonNode document = exchange.json();
        if (!document.path("vms").isArray() || !document.path("entries").isArray()) {
            throw new IllegalArgumentException("the list needs the arrays vms and entries");
        }
        mList.set(document, Instant.now());
        exchange.reply(200, Json.object());
    }
}
