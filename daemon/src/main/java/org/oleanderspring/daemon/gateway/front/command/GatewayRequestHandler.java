package org.oleanderspring.daemon.gateway.front.command;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.port.RequestHeadReader;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.ResponseStream;
import org.oleanderspring.daemon.front.command.JettyResponseStream;
import org.oleanderspring.daemon.front.command.RefusalWriter;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRequest;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.duty.command.OfferResult;

/** Reads requests and hands them to routing. */
public final class GatewayRequestHandler extends Handler.Abstract.NonBlocking {
    /** Bodies above the configured limit but below this are read to answer on a kept connection. */
    private static final int BODY_CAPACITY_BYTES = 8 << 20;

    private final GatewayIntake mIntake;
    private final RequestHeadReader mHeads;
    private final RefusalWriter mRefusals;
    private final MonotonicClock mClock;
    private final AtomicLong mNextCall = new AtomicLong(1);

    /**
     * Creates the handler.
     *
     * @param intake takes the requests
     * @param heads reads their heads
     * @param refusals writes refusals
     * @param clock the time of arrival
     */
    public GatewayRequestHandler(
            GatewayIntake intake,
            RequestHeadReader heads,
            RefusalWriter refusals,
            MonotonicClock clock) {
        mIntake = intake;
        mHeads = heads;
        mRefusals = refusals;
        mClock = clock;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        CallId id = new CallId(mNextCall.getAndIncrement());
        CallerCloseWatch watch = new CallerCloseWatch(request, () -> mIntake.callerLeft(id));
        ResponseStream stream =
                new JettyResponseStream(
                        response, watch.guard(callback), () -> mIntake.callerLeft(id), mRefusals);
        if (request.getLength() > BODY_CAPACITY_BYTES) {
            stream.refuse(tooLarge());
            return true;
        }
        // Routing bounds the time of every request.
        request.addIdleTimeoutListener(timeout -> false);
        request.addFailureListener(failure -> mIntake.callerLeft(id));
        Content.Source.asByteArrayAsync(request, BODY_CAPACITY_BYTES)
                .whenComplete(
                        (body, failure) -> {
                            if (failure == null) {
                                accept(id, request, body, stream, watch);
                            } else if (failure instanceof IllegalStateException) {
                                stream.refuse(tooLarge());
                            } else {
                                stream.abandon();
                            }
                        });
        return true;
    }

    private void accept(
            CallId id,
            Request request,
            byte[] body,
            ResponseStream stream,
            CallerCloseWatch watch) {
        List<Header> headers = headers(request);
        GatewayRequest taken =
                new GatewayRequest(
                        id,
                        Request.getServerName(request),
                        request.getMethod(),
                        request.getHttpURI().getPathQuery(),
                        headers,
                        mHeads.read(headers),
                        body,
                        mClock.now(),
                        stream);
        if (mIntake.accept(taken) != OfferResult.ACCEPTED) {
            stream.refuse(Refusal.notRun(ErrorMessage.OVERLOADED));
            return;
        }
        watch.start();
    }

    private static List<Header> headers(Request request) {
        return request.getHeaders().stream()
                .filter(field -> field.getValue() != null)
                .map((HttpField field) -> new Header(field.getName(), field.getValue()))
                .toList();
    }

    private static Refusal tooLarge() {
        return Refusal.notRun(ErrorMessage.BODY_TOO_LARGE, Integer.toString(BODY_CAPACITY_BYTES));
    }
}
