package org.oleanderspring.standin.keyvalue.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.keyvalue.KeyValueServerCodec;
import org.oleanderspring.standin.keyvalue.KeyValueStore;

/**
 * Handles a transaction: executes its {@code success} operations if all conditions hold, and its
 * {@code failure} operations otherwise. One operation that is not allowed rejects all of them.
 */
public final class TransactionResource implements Resource {
    private final KeyValueStore mStore;

    /**
     * Creates the resource.
     *
     * @param store the key-value store
     */
    public TransactionResource(KeyValueStore store) {
        mStore = store;
    }

    @Override
    public void handle(Exchange exchange) {
        JsonNode request = exchange.json();
        boolean succeeded = holds(request.path("compare"));
        List<TransactionOperation> operations =
                operations(request.path(succeeded ? "success" : "failure"));
        for (TransactionOperation operation : operations) {
            if (!operation.isAllowed(mStore)) {
                exchange.replyError(
                        operation.rejectionStatus(mStore),
                        "refused",
                        operation.rejectionReason(mStore));
                return;
            }
        }
        ArrayNode responses = Json.object().putArray("responses");
        operations.forEach(operation -> responses.add(operation.apply(mStore)));
        mStore.commit();
        ObjectNode response = KeyValueServerCodec.newResponse(mStore.revision());
        if (succeeded) {
            response.put("succeeded", true);
        }
        response.set("responses", responses);
        exchange.reply(200, response);
    }

    private boolean holds(JsonNode conditions) {
        for (JsonNode condition : conditions) {
            if (!new TransactionCondition(condition).holds(mStore)) {
                return false;
            }
        }
        return true;
    }

    private static List<TransactionOperation> operations(JsonNode nodes) {
        List<TransactionOperation> operations = new ArrayList<>();
        nodes.forEach(node -> operations.add(TransactionOperation.read(node)));
        return operations;
    }
}
