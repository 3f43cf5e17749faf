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

/**
 * An HTTP request whose body has been read, and its response. Exactly one of {@link #reply}, {@link
 * #replyError}, {@link #closeConnection} and {@link #stream} ends the exchange; any thread may call
 * it.
 */
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
     * Returns the part of the path between a prefix and a suffix; empty if there is none. The path
     * is not checked again, since the route has matched it.
     *
     * @param prefix the text at the start of the path
     * @param suffix the text at the end of the path
     */
    public String pathBetween(String prefix, String suffix) {
        String path = path();
        int end = path.length() - suffix.length();
        return end < prefix.length() ? "" : path.substring(prefix.length(), end);
    }

    /**
     * Returns the value of a request header, or null if it is absent.
     *
     * @param name the header name
     */
    public @Nullable String header(String name) {
        return mRequest.getHeaders().get(name);
    }

    /**
     * Returns an integer query parameter.
     *
     * @param name the parameter name
     * @param fallback the result if the parameter is absent
     * @throws NumberFormatException if the parameter is not an integer
     */
    public long queryLong(String name, long fallback) {
        Fields fields = Request.extractQueryParameters(mRequest);
        String value = fields.getValue(name);
        return value == null ? fallback : Long.parseLong(value);
    }

    /**
     * Returns a query parameter; empty if it is absent.
     *
     * @param name the parameter name
     */
    public String queryString(String name) {
        String value = Request.extractQueryParameters(mRequest).getValue(name);
        return value == null ? "" : value;
    }

    /** Returns the request body without a copy; callers must not modify it. */
    public byte[] body() {
        return mBody;
    }

    /**
     * Returns the request body as JSON; a missing node if the body is empty.
     *
     * @throws java.io.UncheckedIOException if the body is not JSON
     */
    public JsonNode json() {
        return Json.parse(mBody);
    }

    /**
     * Sets a response header and replaces an earlier value.
     *
     * @param name the header name
     * @param value the header value
     * @return this
     */
    public Exchange withHeader(String name, String value) {
        mResponse.getHeaders().put(name, value);
        return this;
    }

    /** Makes the later {@link #reply} close the connection instead of sending the response. */
    public void suppressReply() {
        mReplySuppressed = true;
    }

    /**
     * Sends a JSON response.
     *
     * @param status the HTTP status
     * @param document the response body
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
     * Sends a JSON response with an {@code error} object.
     *
     * @param status the HTTP status
     * @param type the error code
     * @param message the description of the error, to be read by people
     */
    public void replyError(int status, String type, String message) {
        ObjectNode document = Json.object();
        document.putObject("error").put("type", type).put("message", message);
        reply(status, document);
    }

    /** Closes the connection without a response. */
    public void closeConnection() {
        closeEndPoint();
        mCallback.failed(new EofException("connection closed by the stand-in without a response"));
    }

    /**
     * Starts a chunked response with status 200.
     *
     * @param contentType the media type
     * @return the writer of the chunks
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
