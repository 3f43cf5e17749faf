package org.oleanderspring.standin.load.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.StreamSupport;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.standin.http.WholeResponses;
import org.oleanderspring.standin.load.CallResult;
import org.oleanderspring.standin.load.CallResult.Ending;

/**
 * Asynchronous client that sends calls to daemons and classifies the responses. Thread-safe.
 *
 * <p>The result of a call is delivered on a thread of the HTTP client; a failed call also completes
 * its future normally, with {@link Ending#LOST}.
 */
public final class CallerClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int MAX_CONNECTIONS_PER_DAEMON = 512;

    /** The time beyond its deadline after which a call without a response counts as lost. */
    private static final Duration RESPONSE_GRACE_PERIOD = Duration.ofSeconds(30);

    private final HttpClient mClient = new HttpClient();
    private final Duration mDeadline;
    private final Set<String> mServedTargets = ConcurrentHashMap.newKeySet();

    /**
     * Creates a client.
     *
     * @param deadline the time limit sent with each call
     * @throws Exception if the client cannot be started
     */
    public CallerClient(Duration deadline) throws Exception {
        mDeadline = deadline;
        mClient.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_DAEMON);
        mClient.start();
    }

    /**
     * Returns the entry addresses from the directory of a daemon; blocks until the response arrived
     * or the request failed.
     *
     * @param entry the entry address of the daemon, {@code ip:port}
     * @return the addresses, {@code ip:port}; empty if the daemon does not respond
     */
    public List<String> entryAddresses(String entry) {
        JsonNode body = getJson(entry, "/v1/entries");
        return StreamSupport.stream(body.path("entries").spliterator(), false)
                .map(node -> node.path("address").asText())
                .toList();
    }

    /**
     * Returns the number of models that a daemon lists; 0 if it does not respond. Blocks until the
     * response arrived or the request failed.
     *
     * @param entry the entry address of the daemon, {@code ip:port}
     */
    public int modelCount(String entry) {
        return getJson(entry, "/v1/models").path("data").size();
    }

    /**
     * Sends a streaming completion call.
     *
     * @param entry the entry address of the daemon, {@code ip:port}
     * @param model the name of the model or adapter
     * @param marker a text that is unique to this call and that the response has to contain
     */
    public CompletableFuture<CallResult> sendCompletion(String entry, String model, String marker) {
        String body =
                MAPPER.createObjectNode()
                        .put("model", model)
                        .put("prompt", "who holds the headgate next? " + marker)
                        .put("stream", true)
                        .toString();
        Request request = newRequest(entry, "/v1/completions", body);
        return send(request, model, marker);
    }

    /**
     * Sends a non-idempotent call to a service without a model.
     *
     * @param entry the entry address of the daemon, {@code ip:port}
     * @param service the name of the service
     * @param key the idempotency key, which is also the marker in the body
     */
    public CompletableFuture<CallResult> sendOrder(String entry, String service, String key) {
        Request request = newRequest(entry, "/v1/services/" + service + "/orders", "order " + key);
        request.headers(headers -> headers.put("Idempotency-Key", key));
        return send(request, service, key);
    }

    private Request newRequest(String entry, String path, String body) {
        return mClient.newRequest("http://" + entry + path)
                .method(HttpMethod.POST)
                .headers(
                        headers ->
                                headers.put("X-Deadline-Ms", Long.toString(mDeadline.toMillis())))
                .timeout(mDeadline.plus(RESPONSE_GRACE_PERIOD).toMillis(), TimeUnit.MILLISECONDS)
                .body(new StringRequestContent("application/json", body));
    }

    private CompletableFuture<CallResult> send(Request request, String target, String marker) {
        boolean cold = !mServedTargets.contains(target);
        long start = System.nanoTime();
        CompletableFuture<CallResult> future = new CompletableFuture<>();
        request.send(
                new BufferingResponseListener() {
                    @Override
                    public void onComplete(Result result) {
                        Duration duration = Duration.ofNanos(System.nanoTime() - start);
                        byte[] content = getContent();
                        CallResult classified =
                                classify(result, content == null ? new byte[0] : content, marker);
                        if (classified.ending() == Ending.SERVED) {
                            mServedTargets.add(target);
                        }
                        future.complete(
                                new CallResult(
                                        classified.ending(), cold, duration, classified.detail()));
                    }
                });
        return future;
    }

    private static CallResult classify(Result result, byte[] content, String marker) {
        if (result.isFailed()) {
            return resultOf(Ending.LOST, String.valueOf(result.getFailure()));
        }
        if (!WholeResponses.isWhole(result)) {
            return resultOf(Ending.LOST, "a response without length and chunks may be broken");
        }
        String text = new String(content, StandardCharsets.UTF_8);
        if (result.getResponse().getStatus() == OK) {
            boolean containsMarker = text.contains(marker);
            return resultOf(
                    containsMarker ? Ending.SERVED : Ending.WRONG,
                    containsMarker ? "" : "response of another call");
        }
        JsonNode error = parse(content).path("error");
        boolean notRun = error.path("work").asText().equals("not_run");
        return resultOf(
                notRun ? Ending.REFUSED_NOT_RUN : Ending.REFUSED_OTHER,
                error.path("type").asText("status " + result.getResponse().getStatus()));
    }

    /** Returns a result whose cold flag and duration are placeholders; {@link #send} sets them. */
    private static CallResult resultOf(Ending ending, String detail) {
        return new CallResult(ending, false, Duration.ZERO, detail);
    }

    private JsonNode getJson(String entry, String path) {
        try {
            return parse(mClient.GET("http://" + entry + path).getContent());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (Exception unreachable) {
            // Not reported: callers poll, and a daemon that is still starting refuses connections.
        }
        return MAPPER.createObjectNode();
    }

    private static JsonNode parse(byte @Nullable [] content) {
        try {
            return MAPPER.readTree(content == null ? new byte[0] : content);
        } catch (IOException malformed) {
            return MAPPER.createObjectNode();
        }
    }

    @Override
    public void close() throws Exception {
        mClient.stop();
    }
}
