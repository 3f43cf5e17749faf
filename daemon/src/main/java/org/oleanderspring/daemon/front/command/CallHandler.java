package org.oleanderspring.daemon.front.command;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.daemon.front.IncomingCall;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.ResponseStream;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.duty.command.OfferResult;

/**
 * Handles calls to models and to services without a model.
 *
 * <p>It checks the request, reads its body and passes the call to routing. All other decisions are
 * made there.
 */
public final class CallHandler extends Handler.Abstract.NonBlocking {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String COMPLETION_PATH = "/v1/completions";
    private static final String SERVICE_PREFIX = "/v1/services/";

    private final MemberId mDaemon;
    private final CallIntake mIntake;
    private final int mBodyLimitBytes;
    private final MonotonicClock mClock;
    private final AtomicLong mNextCall = new AtomicLong(1);

    /**
     * Creates the handler.
     *
     * @param daemon the id of this daemon
     * @param intake accepts the calls for routing
     * @param bodyLimitBytes the largest accepted body, in bytes
     * @param clock gives the time of arrival
     */
    public CallHandler(
            MemberId daemon, CallIntake intake, int bodyLimitBytes, MonotonicClock clock) {
        mDaemon = daemon;
        mIntake = intake;
        mBodyLimitBytes = bodyLimitBytes;
        mClock = clock;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        boolean isModelCall = path.equals(CHAT_PATH) || path.equals(COMPLETION_PATH);
        if (!isModelCall && !path.startsWith(SERVICE_PREFIX)) {
            return false;
        }
        CallId id = new CallId(mNextCall.getAndIncrement());
        JettyResponseStream stream =
                new JettyResponseStream(
                        response,
                        callback,
                        () -> mIntake.callerDisconnected(id),
                        new WorkHeaderRefusalWriter());
        if (isModelCall && !HttpMethod.POST.is(request.getMethod())) {
            stream.refuse(
                    Refusal.notRun(ErrorMessage.METHOD_NOT_ALLOWED, request.getMethod(), "POST"));
            return true;
        }
        if (request.getLength() > mBodyLimitBytes) {
            stream.refuse(tooLarge());
            return true;
        }
        request.addFailureListener(failure -> mIntake.callerDisconnected(id));
        Content.Source.asByteArrayAsync(request, mBodyLimitBytes)
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null) {
                                stream.refuse(tooLarge());
                                return;
                            }
                            accept(id, request, body, stream, isModelCall);
                        });
        return true;
    }

    private void accept(
            CallId id, Request request, byte[] body, ResponseStream stream, boolean isModelCall) {
        if (isModelCall) {
            acceptModelCall(id, request, body, stream);
            return;
        }
        acceptServiceCall(id, request, body, stream);
    }

    private void acceptModelCall(CallId id, Request request, byte[] body, ResponseStream stream) {
        ModelCallBody.Content content = ModelCallBody.read(body);
        if (content instanceof ModelCallBody.Content.Invalid invalid) {
            stream.refuse(invalid.refusal());
            return;
        }
        ModelCallBody.Content.Valid valid = (ModelCallBody.Content.Valid) content;
        offer(
                id,
                request,
                new Target.ModelTarget(valid.model()),
                valid.prefixHash(),
                true,
                Request.getPathInContext(request),
                body,
                stream);
    }

    private void acceptServiceCall(CallId id, Request request, byte[] body, ResponseStream stream) {
        String serviceAndPath =
                Request.getPathInContext(request).substring(SERVICE_PREFIX.length());
        int slash = serviceAndPath.indexOf('/');
        String name = slash < 0 ? serviceAndPath : serviceAndPath.substring(0, slash);
        String path = slash < 0 ? "/" : serviceAndPath.substring(slash);
        if (name.isBlank()) {
            stream.refuse(Refusal.notRun(ErrorMessage.UNKNOWN_TARGET, "service"));
            return;
        }
        String query = request.getHttpURI().getQuery();
        boolean idempotentMethod =
                !HttpMethod.POST.is(request.getMethod())
                        && !HttpMethod.PATCH.is(request.getMethod());
        offer(
                id,
                request,
                new Target.ServiceTarget(new ServiceName(name)),
                0,
                idempotentMethod,
                query == null ? path : path + "?" + query,
                body,
                stream);
    }

    private void offer(
            CallId id,
            Request request,
            Target target,
            long prefixHash,
            boolean idempotentByDefault,
            String path,
            byte[] body,
            ResponseStream stream) {
        HeaderReader reader = new HeaderReader();
        Duration responseTimeout = reader.unwrap(CallHeaders.responseTimeout(request));
        Integer priority = reader.unwrap(CallHeaders.priority(request));
        IdempotencyKey key = reader.unwrap(CallHeaders.idempotencyKey(request));
        Boolean idempotent = reader.unwrap(CallHeaders.idempotent(request));
        Refusal refusal = reader.refusal();
        if (refusal != null) {
            stream.refuse(refusal);
            return;
        }
        IncomingCall incoming =
                new IncomingCall(
                        id,
                        target,
                        idempotencyKey(id, key, idempotent, idempotentByDefault),
                        priority == null ? 0 : priority,
                        mClock.now(),
                        responseTimeout,
                        prefixHash,
                        request.getMethod(),
                        path,
                        CallHeaders.forwarded(request),
                        body,
                        stream);
        if (mIntake.accept(incoming) != OfferResult.ACCEPTED) {
            stream.refuse(Refusal.notRun(ErrorMessage.OVERLOADED));
        }
    }

    /**
     * Returns the idempotency key of a call, or null if the call is idempotent. A non-idempotent
     * call without a key gets a generated one, so it is never retried by the daemon; the caller
     * cannot repeat it under that key.
     */
    private @Nullable IdempotencyKey idempotencyKey(
            CallId id,
            @Nullable IdempotencyKey key,
            @Nullable Boolean idempotent,
            boolean idempotentByDefault) {
        boolean repeatable = idempotent == null ? idempotentByDefault && key == null : idempotent;
        if (repeatable) {
            return null;
        }
        return key == null ? new IdempotencyKey(mDaemon + "/" + id) : key;
    }

    private Refusal tooLarge() {
        return Refusal.notRun(ErrorMessage.BODY_TOO_LARGE, Integer.toString(mBodyLimitBytes));
    }

    /** Unwraps parsed headers and keeps the refusal for the first invalid one. */
    private static final class HeaderReader {
        private @Nullable Refusal mRefusal;

        <T> @Nullable T unwrap(CallHeaders.Parsed<T> parsed) {
            if (parsed instanceof CallHeaders.Parsed.Invalid<T> invalid) {
                mRefusal = mRefusal == null ? invalid.refusal() : mRefusal;
                return null;
            }
            return ((CallHeaders.Parsed.Valid<T>) parsed).value();
        }

        @Nullable Refusal refusal() {
            return mRefusal;
        }
    }
}
