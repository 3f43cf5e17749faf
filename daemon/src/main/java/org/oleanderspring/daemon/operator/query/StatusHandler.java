package org.oleanderspring.daemon.operator.query;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.daemon.front.query.JsonResponse;

/** Serves {@code /status}: the loaded models, the lease holders and the current settings. */
public final class StatusHandler extends Handler.Abstract.NonBlocking {
    private static final String PATH = "/status";

    private final Supplier<? extends CompletableFuture<? extends JsonNode>> mStatus;

    /**
     * Creates the handler.
     *
     * @param status collects the status from the duties; called for each request
     */
    public StatusHandler(Supplier<? extends CompletableFuture<? extends JsonNode>> status) {
        mStatus = status;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        JsonResponse.of(response, callback).sendWhenReady(mStatus.get());
        return true;
    }
}
