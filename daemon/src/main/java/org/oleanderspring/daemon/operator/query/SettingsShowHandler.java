package org.oleanderspring.daemon.operator.query;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.daemon.codec.SettingsCodec;
import org.oleanderspring.daemon.codec.SettingsDocument;
import org.oleanderspring.daemon.front.query.JsonResponse;

/**
 * Serves {@code GET /settings}, the current settings, and {@code GET /settings/history}, their
 * history.
 */
public final class SettingsShowHandler extends Handler.Abstract.NonBlocking {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final SettingsQueries mQueries;

    /**
     * Creates the handler.
     *
     * @param queries reads the settings
     */
    public SettingsShowHandler(SettingsQueries queries) {
        mQueries = queries;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!HttpMethod.GET.is(request.getMethod())) {
            return false;
        }
        JsonResponse jsonResponse = JsonResponse.of(response, callback);
        switch (Request.getPathInContext(request)) {
            case "/settings" ->
                    jsonResponse.sendWhenReady(
                            mQueries.current()
                                    .thenApply(
                                            document -> SettingsCodec.toJson(document.settings())));
            case "/settings/history" ->
                    jsonResponse.sendWhenReady(
                            mQueries.current().thenApply(SettingsShowHandler::history));
            default -> {
                return false;
            }
        }
        return true;
    }

    private static ObjectNode history(SettingsDocument document) {
        ObjectNode root = MAPPER.createObjectNode();
        root.set("history", SettingsCodec.toJson(document.history()));
        return root;
    }
}
