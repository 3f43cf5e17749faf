package org.oleanderspring.daemon.front.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.ResponseStream;

/** Writes the response to one caller through Jetty. */
public final class JettyResponseStream implements ResponseStream {
    private static final Logger LOGGER = System.getLogger(JettyResponseStream.class.getName());

    private final Response mResponse;
    private final Callback mCallback;
    private final Runnable mOnDisconnect;
    private final RefusalWriter mRefusalWriter;

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
            mCallback.failed(new ResponseAbortedException(refusal.text()));
            return;
        }
        // begin() may have set header fields that do not belong to the refusal.
        mResponse.reset();
        mRefusalWriter.write(mResponse, refusal, mCallback);
    }

    @Override
    public void abandon() {
        mCallback.failed(new ResponseAbortedException("the caller disconnected"));
    }
}
