package org.oleanderspring.daemon.front.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.routing.WorkState;
import org.oleanderspring.daemon.front.CallerStream;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.RefusalBody;
import org.oleanderspring.daemon.front.RefusalStatus;

/** Answers one caller over Jetty. */
final class JettyCallerStream implements CallerStream {
    /** Names whether the work of a refused call was done. */
    static final String WORK_HEADER = "X-Work";

    private static final Logger LOGGER = System.getLogger(JettyCallerStream.class.getName());
    private static final String RETRY_AFTER_SECONDS = "1";
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final Response mResponse;
    private final Callback mCallback;
    private final Runnable mCallerLeft;

    /**
     * Creates the stream.
     *
     * @param response the response
     * @param callback ends the exchange
     * @param callerLeft runs when a part could not be sent
     */
    JettyCallerStream(Response response, Callback callback, Runnable callerLeft) {
        mResponse = response;
        mCallback = callback;
        mCallerLeft = callerLeft;
    }

    @Override
    public void begin(int status, List<Header> headers) {
        mResponse.setStatus(status);
        for (Header header : headers) {
            mResponse.getHeaders().put(header.name(), header.value());
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
        int status = RefusalStatus.of(refusal.message());
        mResponse.setStatus(status);
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        mResponse.getHeaders().put(WORK_HEADER, RefusalBody.nameOf(refusal.workState()));
        boolean retryable = status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
        if (retryable && refusal.workState() == WorkState.NOT_RUN) {
            mResponse.getHeaders().put(HttpHeader.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        mResponse.write(true, ByteBuffer.wrap(RefusalBody.encode(refusal)), mCallback);
    }
}
