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
    private static final long LIMIT_SECONDS = 15;

    private final HttpClient mClient;
    private final URI mDaemon;

    /** The result of a request. */
    public sealed interface Answer {
        /**
         * The daemon responded.
         *
         * @param status the HTTP status
         * @param body the body, a JSON document
         */
        record Document(int status, JsonNode body) implements Answer {
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
        record Unreachable(String reason) implements Answer {}
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
    public Answer get(String path) {
        return send(HttpMethod.GET, path, null);
    }

    /**
     * Sends a POST request and waits for the response, 15 s at most.
     *
     * @param path the path
     * @param body the body, a JSON document
     */
    public Answer post(String path, String body) {
        return send(HttpMethod.POST, path, body);
    }

    private Answer send(HttpMethod method, String path, @Nullable String body) {
        Request request =
                mClient.newRequest(mDaemon.resolve(path))
                        .method(method)
                        .timeout(LIMIT_SECONDS, TimeUnit.SECONDS);
        if (body != null) {
            request.body(
                    new StringRequestContent("application/json", body, StandardCharsets.UTF_8));
        }
        try {
            ContentResponse response = request.send();
            JsonNode document = MAPPER.readTree(response.getContent());
            return new Answer.Document(
                    response.getStatus(), document == null ? MissingNode.getInstance() : document);
        } catch (ExecutionException failure) {
            Throwable cause = failure.getCause();
            return new Answer.Unreachable(String.valueOf(cause == null ? failure : cause));
        } catch (TimeoutException | IOException failure) {
            return new Answer.Unreachable(String.valueOf(failure.getMessage()));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return new Answer.Unreachable("the request was interrupted");
        }
    }

    @Override
    public void close() throws Exception {
        mClient.stop();
    }
}
