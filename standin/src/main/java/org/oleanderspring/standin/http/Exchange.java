package org.oleanderspring.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.jspecify.annotations.Nullable;

/** One request with the means to answer it. */
public final class Exchange {
    private static final String JSON_TYPE = "application/json";

    private final Request mRequest;
    private final Response mResponse;
    private final Callback mCallback;
    private final byte[] mBody;
    private volatile boolean mReplySuppressed;

    Exchange(Request request, Response response, Callback callback, byte[] body) {
        mRequest = request;
        mResponse = response;
        mCallback = callback;
        mBody = body;
    }

    /** Returns the HTTP method. */
    public String method() {
        return mRequest.getMethod();
    }

    /** Returns the path without its query. */
    public String path() {
        return Request.getPathInContext(mRequest);
    }

    /**
     * Returns the part of the path between two texts.
     *
     * @param prefix what the path starts with
     * @param suffix what the path ends with
     */
    public String pathBetween(String prefix, String suffix) {
        String path = path();
        int end = path.length() - suffix.length();
        return end < prefix.length() ? "" : path.substring(prefix.length(), end);
    }

    /**
     * Returns a header, or null.
     *
     * @param name the name
     */
    public @Nullable String header(String name) {
        return mRequest.getHeaders().get(name);
    }

    /**
     * Returns a number from the query.
     *
     * @param name the name
     * @param fallback the value if it is missing
     */
    public long queryLong(String name, long fallback) {
        Fields fields = Request.extractQueryParameters(mRequest);
        String value = fields.getValue(name);
        return value == null ? fallback : Long.parseLong(value);
    }

    /**
     * Returns a text from the query; empty if it is missing.
     *
     * @param name the name
     */
    public String queryString(String name) {
        String value = Request.extractQueryParameters(mRequest).getValue(name);
        return value == null ? "" : value;
    }

    /** Returns the body; not to be changed. */
    public byte[] body() {
        return mBody;
    }

    /** Returns the body as JSON; a missing node if it is empty. */
    public JsonNode json() {
        return Json.parse(mBody);
    }

    /**
     * Sets a header of the answer.
     *
     * @param name the name
     * @param value the value
     * @return this
     */
    public Exchange withHeader(String name, String value) {
        mResponse.getHeaders().put(name, value);
        return this;
    }

    /** Makes the later answer get lost: the connection breaks instead. */
    public void suppressReply() {
        mReplySuppressed = true;
    }

    /**
     * Answers with a document.
     *
     * @param status the HTTP status
     * @param document the document
     */
    public void reply(int status, JsonNode document) {
        if (mReplySuppressed) {
            closeConnection();
            return;
        }
        byte[] bytes = Json.write(document).getBytes(StandardCharsets.UTF_8);
        mResponse.setStatus(status);
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON_TYPE);
        mResponse.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
        mResponse.write(true, ByteBuffer.wrap(bytes), mCallback);
    }

    /**
     * Answers with an error document.
     *
     * @param status the HTTP status
     * @param type a short name of the error
     * @param message the explanation
     */
    public void replyError(int status, String type, String message) {
        ObjectNode document = Json.object();
        document.putObject("error").put("type", type).put("message", message);
        reply(status, document);
    }

    /** Breaks the connection without an answer. */
    public void closeConnection() {
        closeEndPoint();
        mCallback.failed(new EofException("dropped by the stand-in"));
    }

    /**
     * Starts a long answer with status 200.
     *
     * @param contentType the content type
     * @return takes the parts
     */
    public ChunkWriter stream(String contentType) {
        mResponse.setStatus(200);
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        return new ChunkWriter(mResponse, mCallback, this::closeEndPoint);
    }

    private void closeEndPoint() {
        mRequest.getConnectionMetaData().getConnection().getEndPoint().close();
    }
}
