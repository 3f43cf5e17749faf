package org.oleanderspring.daemon.front.query;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.RefusalBody;
import org.oleanderspring.daemon.front.RefusalStatus;

/** Sends one JSON document, or a refusal, as the response to a request. */
public final class JsonResponse {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final long REPLY_TIMEOUT_SECONDS = 5;

    private final Response mResponse;
    private final Callback mCallback;

    private JsonResponse(Response response, Callback callback) {
        mResponse = response;
        mCallback = callback;
    }

    /**
     * Creates a JSON response.
     *
     * @param response Jetty's response
     * @param callback completed when the response is written
     */
    public static JsonResponse of(Response response, Callback callback) {
        return new JsonResponse(response, callback);
    }

    /**
     * Sends a document with status 200.
     *
     * @param document the document
     */
    public void send(JsonNode document) {
        try {
            write(OK, MAPPER.writeValueAsString(document).getBytes(StandardCharsets.UTF_8));
        } catch (JsonProcessingException failure) {
            mCallback.failed(failure);
        }
    }

    /**
     * Sends a document as soon as it is available, or a refusal if it is not available within 5 s.
     *
     * @param document the pending document
     */
    public void sendWhenReady(CompletableFuture<? extends JsonNode> document) {
        document.orTimeout(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .whenComplete(
                        (json, failure) -> {
                            if (failure != null || json == null) {
                                refuse(Refusal.notRun(ErrorMessage.OVERLOADED));
                                return;
                            }
                            send(json);
                        });
    }

    /**
     * Sends a refusal.
     *
     * @param refusal the refusal
     */
    public void refuse(Refusal refusal) {
        write(RefusalStatus.of(refusal.message()), RefusalBody.encode(refusal));
    }

    private void write(int status, byte[] body) {
        mResponse.setStatus(status);
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        mResponse.write(true, ByteBuffer.wrap(body), mCallback);
    }
}
