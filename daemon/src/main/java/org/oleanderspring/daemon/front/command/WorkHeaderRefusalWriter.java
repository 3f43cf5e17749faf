package org.oleanderspring.daemon.front.command;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.core.routing.WorkState;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.RefusalBody;
import org.oleanderspring.daemon.front.RefusalStatus;

/** Writes refusals whose {@code X-Work} header and body state whether the call was executed. */
final class WorkHeaderRefusalWriter implements RefusalWriter {
    static final String WORK_HEADER = "X-Work";

    private static final String RETRY_AFTER_SECONDS = "1";
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    @Override
    public void write(Response response, Refusal refusal, Callback callback) {
        int status = RefusalStatus.of(refusal.message());
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(WORK_HEADER, RefusalBody.nameOf(refusal.workState()));
        boolean retryable = status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
        // Retry-After invites the client to repeat the call, so the call must not have been
        // executed.
        if (retryable && refusal.workState() == WorkState.NOT_RUN) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        response.write(true, ByteBuffer.wrap(RefusalBody.encode(refusal)), callback);
    }
}
