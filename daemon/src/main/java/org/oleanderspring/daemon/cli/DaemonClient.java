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

/** Talks to one daemon over HTTP for the subcommands. */
public final class DaemonClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long LIMIT_SECONDS = 15;

    private final HttpClient mClient;
    private final URI mDaemon;

    /** What a daemon answered. */
    public sealed interface Answer {
        /**
         * A JSON document.
         *
         * @param status the HTTP status
         * @param body the document
         */
        record Document(int status, JsonNode body) implements Answer {
            /** Returns whether the daemon did what it was asked. */
            public boolean isSuccess() {
                return status / 100 == 2;
            }

            /** Returns the message of a refusal. */
            public String message() {
                return body.path("error").path("message").asText("status " + status);
            }
        }

        /**
         * No usable answer.
         *
         * @param reason why
         */
        record Unreachable(String reason) implements Answer {}
    }

    /**
     * Creates a client.
     *
     * @param daemon the address of the daemon
     * @throws Exception if the client cannot be started
     */
    public DaemonClient(URI daemon) throws Exception {
        mDaemon = daemon;
        mClient = new HttpClient();
        mClient.start();
    }

    /**
     * Reads a path.
     *
     * @param path the path
     */
    public Answer get(String path) {
        return send(HttpMethod.GET, path, null);
    }

    /**
     * Sends a document.
     *
     * @param path the path
     * @param body the document
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
            return new Answer.Unreachable("interrupted");
        }
    }

    @Override
    public void close() throws Exception {
        mClient.stop();
    }
}
