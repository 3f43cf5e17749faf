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

/** Carries out one list of operations if all comparisons hold, and another one otherwise. */
public final class TransactionResource implements Resource {
    private final KeyValueStore mStore;

    /**
     * Creates the resource.
     *
     * @param store the store
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
        ObjectNode answer = KeyValueServerCodec.newResponse(mStore.revision());
        if (succeeded) {
            answer.put("succeeded", true);
        }
        answer.set("responses", responses);
        exchange.reply(200, answer);
    }

    private boolean holds(JsonNode comparisons) {
        for (JsonNode comparison : comparisons) {
            if (!new TransactionCondition(comparison).holds(mStore)) {
                return false;
            }
        }
        return true;
    }

    private static List<TransactionOperation> operations(JsonNode steps) {
        List<TransactionOperation> operations = new ArrayList<>();
        steps.forEach(step -> operations.add(TransactionOperation.read(step)));
        return operations;
    }
}
