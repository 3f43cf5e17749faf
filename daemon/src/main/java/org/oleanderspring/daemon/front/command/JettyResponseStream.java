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

/** Answers one caller over Jetty. */
public final class JettyResponseStream implements ResponseStream {
    /** Names whether the work of a refused call was done. */
    private static final Logger LOGGER = System.getLogger(JettyResponseStream.class.getName());

    private final Response mResponse;
    private final Callback mCallback;
    private final Runnable mCallerLeft;
    private final RefusalWriter mRefusals;

    /**
     * Creates the stream.
     *
     * @param response the response
     * @param callback ends the exchange
     * @param callerLeft runs when a part could not be sent
     */
    /**
     * Creates the answer.
     *
     * @param response the answer
     * @param callback completed with the answer
     * @param callerLeft called when the caller has left
     * @param refusals writes refusals
     */
    public JettyResponseStream(
            Response response, Callback callback, Runnable callerLeft, RefusalWriter refusals) {
        mResponse = response;
        mCallback = callback;
        mCallerLeft = callerLeft;
        mRefusals = refusals;
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
                            mCallerLeft.run();
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
            LOGGER.log(Level.DEBUG, "[front] An answer that had begun was cut off.");
            mCallback.failed(new AnswerCutException(refusal.text()));
            return;
        }
        // An answer that has begun but was not written yet leaves its header fields behind.
        mResponse.reset();
        mRefusals.write(mResponse, refusal, mCallback);
    }

    @Override
    public void abandon() {
        mCallback.failed(new AnswerCutException("the caller has left"));
    }
}
