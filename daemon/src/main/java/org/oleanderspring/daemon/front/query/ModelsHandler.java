package org.oleanderspring.daemon.front.query;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.core.fleet.ModelName;

/** Serves {@code GET /v1/models}: the names of all models and adapters. */
public final class ModelsHandler extends Handler.Abstract.NonBlocking {
    private static final String PATH = "/v1/models";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Supplier<CompletableFuture<List<ModelName>>> mModels;

    /**
     * Creates the handler.
     *
     * @param models queries the routing duty
     */
    public ModelsHandler(Supplier<CompletableFuture<List<ModelName>>> models) {
        mModels = models;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        JsonResponse.of(response, callback)
                .sendWhenReady(mModels.get().thenApply(ModelsHandler::encode));
        return true;
    }

    private static ObjectNode encode(List<ModelName> models) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("object", "list");
        ArrayNode data = root.putArray("data");
        for (ModelName model : models) {
            ObjectNode entry = data.addObject();
            entry.put("id", model.value());
            entry.put("object", "model");
            entry.put("owned_by", "oleanderspring");
        }
        return root;
    }
}
