package org.oleanderspring.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.platform.http.HttpClientOptions;
import org.oleanderspring.platform.http.SharedHttpClient;

/** HTTP client of the subcommands for one daemon. */
public final class DaemonClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The time-out of one request. */
    private static final long TIMEOUT_SECONDS = 15;

    /** For one request at a time, which nothing but its own time-out ends. */
    private static final HttpClientOptions OPTIONS =
            new HttpClientOptions(
                    4,
                    1,
                    1,
                    Duration.ofSeconds(TIMEOUT_SECONDS),
                    Duration.ofSeconds(TIMEOUT_SECONDS));

    private final SharedHttpClient mClient;
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
     */
    public DaemonClient(URI daemon) {
        mDaemon = daemon;
        mClient = new SharedHttpClient(OPTIONS);
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
                mClient.jettyClient()
                        .newRequest(mDaemon.resolve(path))
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
    public void close() {
        mClient.close();
    }
}
