package org.oleanderspring.daemon.gateway.front.command;

import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.routing.WorkState;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.RefusalBody;
import org.oleanderspring.daemon.front.command.RefusalWriter;

/**
 * Writes refusals whose status code shows whether the request was executed: 503 guarantees that it
 * was not executed and never will be; 502 and 504 leave it open. Status 400 tells a client not to
 * repeat a request whose prompt is quarantined, and 401 that its API key is not accepted.
 */
public final class StatusRefusalWriter implements RefusalWriter {
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String IMMEDIATELY = "0";
    private static final String DEFAULT_RETRY_AFTER_SECONDS = "0.3";
    private static final int MILLISECOND_DIGITS = 3;

    /**
     * The share by which the time until a retry is extended at random, so that the callers of a
     * model that becomes ready do not all return at the same moment.
     */
    private static final double SPREAD = 0.25;

    private final Supplier<RandomGenerator> mRandom;

    /**
     * Creates a writer.
     *
     * @param random the source of random numbers of the calling thread
     */
    public StatusRefusalWriter(Supplier<RandomGenerator> random) {
        mRandom = random;
    }

    @Override
    public void write(Response response, Refusal refusal, Callback callback) {
        int status = status(refusal);
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        if (status == UNAVAILABLE || status == TOO_MANY_REQUESTS) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, retryAfter(refusal));
        }
        if (refusal.message() == ErrorMessage.DRAINING
                || refusal.message() == ErrorMessage.BODY_TOO_LARGE) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        response.write(true, ByteBuffer.wrap(RefusalBody.encode(refusal)), callback);
    }

    /**
     * Returns the seconds after which a client may retry: 0 if this daemon is stopping, as another
     * daemon may accept the call; else the estimated time until the target is ready, if known, and
     * up to a quarter more.
     */
    String retryAfter(Refusal refusal) {
        if (refusal.message() == ErrorMessage.DRAINING) {
            return IMMEDIATELY;
        }
        Duration readyIn = refusal.readyIn();
        if (readyIn == null) {
            return DEFAULT_RETRY_AFTER_SECONDS;
        }
        long millis = (long) (readyIn.toMillis() * (1 + SPREAD * mRandom.get().nextDouble()));
        return BigDecimal.valueOf(millis, MILLISECOND_DIGITS).toPlainString();
    }

    private static int status(Refusal refusal) {
        return switch (refusal.message()) {
            case UNKNOWN_PATH, UNKNOWN_TARGET -> NOT_FOUND;
            case BODY_TOO_LARGE -> TOO_LARGE;
            case KEY_REJECTED ->
                    refusal.workState() == WorkState.NOT_RUN ? UNAUTHORIZED : BAD_GATEWAY;
            case QUOTA_EXCEEDED -> TOO_MANY_REQUESTS;
            case QUARANTINED ->
                    refusal.workState() == WorkState.NOT_RUN ? BAD_REQUEST : BAD_GATEWAY;
            case DEADLINE_PASSED ->
                    refusal.workState() == WorkState.NOT_RUN ? UNAVAILABLE : GATEWAY_TIMEOUT;
            default -> refusal.workState() == WorkState.NOT_RUN ? UNAVAILABLE : BAD_GATEWAY;
        };
    }
}
