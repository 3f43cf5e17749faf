package org.oleanderspring.daemon.front.command;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.List;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.ResponseStream;

/**
 * Writes the response to one caller through Jetty.
 *
 * <p>A response that was aborted must not look complete. It does if it has neither a length nor
 * chunks, because its end is that of the connection. Jetty sends chunks by itself only if the
 * connection is kept, so this class asks for them whenever the length is unknown. A caller of
 * HTTP/1.0 knows no chunks; its connection is reset if the response is aborted.
 */
public final class JettyResponseStream implements ResponseStream {
    private static final Logger LOGGER = System.getLogger(JettyResponseStream.class.getName());

    private final Response mResponse;
    private final Callback mCallback;
    private final Runnable mOnDisconnect;
    private final RefusalWriter mRefusalWriter;
    private volatile boolean mEndsWithConnection;

    /**
     * Creates the response stream.
     *
     * @param response Jetty's response
     * @param callback ends Jetty's handling of the request; completed with the response
     * @param onDisconnect runs when a part could not be sent, that is, the caller has disconnected
     * @param refusalWriter writes refusals as responses
     */
    public JettyResponseStream(
            Response response,
            Callback callback,
            Runnable onDisconnect,
            RefusalWriter refusalWriter) {
        mResponse = response;
        mCallback = callback;
        mOnDisconnect = onDisconnect;
        mRefusalWriter = refusalWriter;
    }

    @Override
    public void begin(int status, List<Header> headers) {
        mResponse.setStatus(status);
        for (Header header : headers) {
            mResponse.getHeaders().add(header.name(), header.value());
        }
        if (mayHaveBody(status) && !mResponse.getHeaders().contains(HttpHeader.CONTENT_LENGTH)) {
            delimitByChunks();
        }
    }

    private static boolean mayHaveBody(int status) {
        return status != HttpStatus.NO_CONTENT_204 && status != HttpStatus.NOT_MODIFIED_304;
    }

    private void delimitByChunks() {
        HttpVersion version = mResponse.getRequest().getConnectionMetaData().getHttpVersion();
        if (version.getVersion() < HttpVersion.HTTP_1_1.getVersion()) {
            mEndsWithConnection = true;
            return;
        }
        mResponse.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
    }

    @Override
    public void write(byte[] bytes, Runnable written) {
        mResponse.write(
                false,
                ByteBuffer.wrap(bytes),
                Callback.from(
                        written,
                        failure -> {
                            mOnDisconnect.run();
                            written.run();
                        }));
    }

    @Override
    public void finish() {
        mCallback.succeeded();
    }

    @Override
    public void refuse(Refusal refusal) {
        if (mResponse.isCommitted()) {
            LOGGER.log(
                    Level.DEBUG,
                    "[front] Aborted a response that was partly sent: {0}",
                    refusal.text());
            abort(refusal.text());
            return;
        }
        // begin() may have set header fields that do not belong to the refusal.
        mResponse.reset();
        mRefusalWriter.write(mResponse, refusal, mCallback);
    }

    @Override
    public void abandon() {
        abort("the caller disconnected");
    }

    private void abort(String reason) {
        if (mEndsWithConnection) {
            resetWhenClosed();
        }
        mCallback.failed(new ResponseAbortedException(reason));
    }

    private void resetWhenClosed() {
        EndPoint endPoint =
                mResponse.getRequest().getConnectionMetaData().getConnection().getEndPoint();
        if (!(endPoint.getTransport() instanceof SocketChannel channel)) {
            return;
        }
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException closed) {
            LOGGER.log(
                    Level.DEBUG,
                    "[front] The connection of an aborted response is closed: {0}",
                    closed.getMessage());
        }
    }
}
