package org.oleanderspring.daemon.front.query;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves {@code GET /v1/entries}: the entry addresses and how long callers may cache them. */
public final class EntriesHandler extends Handler.Abstract.NonBlocking {
    private static final String PATH = "/v1/entries";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Supplier<CompletableFuture<EntryDirectory>> mDirectory;

    /**
     * Creates the handler.
     *
     * @param directory queries the membership duty
     */
    public EntriesHandler(Supplier<CompletableFuture<EntryDirectory>> directory) {
        mDirectory = directory;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        JsonResponse.of(response, callback)
                .sendWhenReady(mDirectory.get().thenApply(EntriesHandler::encode));
        return true;
    }

    private static ObjectNode encode(EntryDirectory directory) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode entries = root.putArray("entries");
        for (EntryDirectory.Entry entry : directory.entries()) {
            ObjectNode node = entries.addObject();
            node.put("address", entry.address().toString());
            node.put("failureDomain", entry.failureDomain().name());
        }
        root.put("keepSeconds", directory.timeToLive().toSeconds());
        return root;
    }
}
