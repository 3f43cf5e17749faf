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

/** Reads requests and passes them to routing. */
public final class GatewayRequestHandler extends Handler.Abstract.NonBlocking {
    /**
     * Bodies up to this size are read completely, even above the configured limit, so that the
     * refusal can be sent on an intact connection.
     */
    private static final int BODY_CAPACITY_BYTES = 8 << 20;

    private final GatewayIntake mIntake;
    private final RequestHeadReader mHeadReader;
    private final RefusalWriter mRefusalWriter;
    private final MonotonicClock mClock;
    private final AtomicLong mNextCall = new AtomicLong(1);

    /**
     * Creates the handler.
     *
     * @param intake accepts the requests for routing
     * @param headReader parses the platform's header fields
     * @param refusalWriter writes refusals as responses
     * @param clock gives the time of arrival
     */
    public GatewayRequestHandler(
            GatewayIntake intake,
            RequestHeadReader headReader,
            RefusalWriter refusalWriter,
            MonotonicClock clock) {
        mIntake = intake;
        mHeadReader = headReader;
        mRefusalWriter = refusalWriter;
        mClock = clock;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        CallId id = new CallId(mNextCall.getAndIncrement());
        CallerDisconnectWatch watch =
                new CallerDisconnectWatch(request, () -> mIntake.callerDisconnected(id));
        ResponseStream stream =
                new JettyResponseStream(
                        response,
                        watch.stopBefore(callback),
                        () -> mIntake.callerDisconnected(id),
                        mRefusalWriter);
        if (request.getLength() > BODY_CAPACITY_BYTES) {
            stream.refuse(tooLarge());
            return true;
        }
        // The idle timeout does not apply while a request is handled, because routing limits its
        // time by its deadline.
        request.addIdleTimeoutListener(timeout -> false);
        request.addFailureListener(failure -> mIntake.callerDisconnected(id));
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
            CallerDisconnectWatch watch) {
        List<Header> headers = headers(request);
        GatewayRequest accepted =
                new GatewayRequest(
                        id,
                        Request.getServerName(request),
                        request.getMethod(),
                        request.getHttpURI().getPathQuery(),
                        mHeadReader.withoutSecrets(headers),
                        mHeadReader.read(headers),
                        body,
                        mClock.now(),
                        stream,
                        watch);
        if (mIntake.accept(accepted) != OfferResult.ACCEPTED) {
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
