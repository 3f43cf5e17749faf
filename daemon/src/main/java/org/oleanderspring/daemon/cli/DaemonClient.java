package org.oleanderspring.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/** HTTP client of the subcommands for one daemon. */
public final class DaemonClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The time-out of one request. */
    private static final long TIMEOUT_SECONDS = 15;

    private final HttpClient mClient;
    private final URI mDaemon;

    /** The result of a request. */
    public sealed interface Result {
        /**
         * The daemon responded.
         *
         * @param status the HTTP status
         * @param body the body, a JSON document
         */
        record Response(int status, JsonNode body) implements Result {
            /** Returns whether the status is a 2xx status. */
            public boolean isSuccess() {
                return status / 100 == 2;
            }

            /** Returns the error message in the body, or else the HTTP status. */
            public String message() {
                return body.path("error")
                        .path("message")
                        .asText("the daemon responded with HTTP status " + status);
            }
        }

        /**
         * The daemon could not be reached, did not respond in time, or sent a body that is not
         * JSON.
         *
         * @param reason the cause
         */
        record Unreachable(String reason) implements Result {}
    }

    /**
     * Creates and starts a client.
     *
     * @param daemon the HTTP address of the daemon
     * @throws Exception if the client cannot be started
     */
    public DaemonClient(URI daemon) throws Exception {
        mDaemon = daemon;
        mClient = new HttpClient();
        mClient.start();
    }

    /**
     * Sends a GET request and waits for the response, 15 s at most.
     *
     * @param path the path
     */
    public Result get(String path) {
        return send(HttpMethod.GET, path, null);
    }

    /**
     * Sends a POST request and waits for the response, 15 s at most.
     *
     * @param path the path
     * @param body the body, a JSON document
     */
    public Result post(String path, String body) {
        return send(HttpMethod.POST, path, body);
    }

    private Result send(HttpMethod method, String path, @Nullable String body) {
        Request request =
                mClient.newRequest(mDaemon.resolve(path))
                        .method(method)
                        .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (body != null) {
            request.body(
                    new StringRequestContent("application/json", body, StandardCharsets.UTF_8));
        }
        try {
            ContentResponse response = request.send();
            JsonNode document = MAPPER.readTree(response.getContent());
            return new Result.Response(
                    response.getStatus(), document == null ? MissingNode.getInstance() : document);
        } catch (ExecutionException failure) {
            Throwable cause = failure.getCause();
            return new Result.Unreachable(String.valueOf(cause == null ? failure : cause));
        } catch (TimeoutException | IOException failure) {
            return new Result.Unreachable(String.valueOf(failure.getMessage()));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return new Result.Unreachable("interrupted");
        }
    }

    @Override
    public void close() throws Exception {
        mClient.stop();
    }
}
