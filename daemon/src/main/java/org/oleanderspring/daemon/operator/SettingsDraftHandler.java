package org.oleanderspring.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.routing.WorkState;
import org.oleanderspring.core.settings.command.SettingsDraft;
import org.oleanderspring.daemon.codec.DecodedDocument;
import org.oleanderspring.daemon.codec.SettingsCodec;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.query.JsonResponse;

/** Reads a settings draft from a POST request, acts on it and responds with the result. */
public abstract class SettingsDraftHandler extends Handler.Abstract.NonBlocking {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int BODY_LIMIT_BYTES = 1 << 20;
    private static final long REPLY_TIMEOUT_SECONDS = 10;

    private final String mPath;
    private final Function<SettingsDraft, CompletableFuture<SettingsReply>> mAction;

    /**
     * Creates a handler for POST requests to one path; it leaves other requests to other handlers.
     *
     * @param path the path that it handles
     * @param action checks or applies the draft; has to reply within 10 s
     */
    protected SettingsDraftHandler(
            String path, Function<SettingsDraft, CompletableFuture<SettingsReply>> action) {
        mPath = path;
        mAction = action;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        boolean matches =
                Request.getPathInContext(request).equals(mPath)
                        && HttpMethod.POST.is(request.getMethod());
        if (!matches) {
            return false;
        }
        JsonResponse jsonResponse = JsonResponse.of(response, callback);
        Content.Source.asByteArrayAsync(request, BODY_LIMIT_BYTES)
                .whenComplete((body, failure) -> handleBody(body, failure, jsonResponse));
        return true;
    }

    private void handleBody(
            byte @Nullable [] body, @Nullable Throwable failure, JsonResponse jsonResponse) {
        if (failure != null || body == null) {
            jsonResponse.refuse(
                    Refusal.notRun(
                            ErrorMessage.BODY_TOO_LARGE, Integer.toString(BODY_LIMIT_BYTES)));
            return;
        }
        DecodedDocument<SettingsDraft> draft = SettingsCodec.decodeDraft(body);
        if (draft instanceof DecodedDocument.Malformed<SettingsDraft> malformed) {
            jsonResponse.refuse(
                    Refusal.notRun(ErrorMessage.SETTINGS_MALFORMED, malformed.reason()));
            return;
        }
        mAction.apply(((DecodedDocument.Valid<SettingsDraft>) draft).value())
                .orTimeout(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .whenComplete((reply, replyFailure) -> send(reply, jsonResponse));
    }

    private static void send(@Nullable SettingsReply reply, JsonResponse jsonResponse) {
        if (reply == null) {
            jsonResponse.refuse(
                    Refusal.notRun(
                            ErrorMessage.SETTINGS_UNAVAILABLE,
                            "no answer in time; read the settings to see whether they apply"));
            return;
        }
        if (reply instanceof SettingsReply.Refused refused) {
            jsonResponse.refuse(new Refusal(refused.message(), refused.text(), WorkState.NOT_RUN));
            return;
        }
        jsonResponse.send(toJson(reply));
    }

    private static JsonNode toJson(SettingsReply reply) {
        ObjectNode root = MAPPER.createObjectNode();
        if (reply instanceof SettingsReply.Accepted accepted) {
            root.put("number", accepted.number());
        } else if (reply instanceof SettingsReply.Checked checked) {
            checked.differences().forEach(root.putArray("differences")::add);
        }
        return root;
    }
}
