package org.oleanderspring.daemon.gateway.front.query;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.core.directory.DirectoryCaller;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.query.JsonResponse;

/**
 * Serves {@code /resolve}: the front addresses of the other known gateway daemons and, if it is
 * ready and not shutting down, of this one.
 */
public final class ResolveHandler extends Handler.Abstract.NonBlocking {
    private static final String PATH = "/resolve";

    private final Function<DirectoryCaller, CompletableFuture<List<String>>> mAddresses;
    private final Duration mTimeToLive;
    private final String mFailureDomainParameter;

    /**
     * Creates the handler.
     *
     * @param addresses asks the routing duty for the addresses for a client; the result is empty if
     *     no address is known or if the ring of the duty is full
     * @param timeToLive how long a client may cache the response
     * @param failureDomainParameter the name of the parameter with the client's failure domain
     */
    public ResolveHandler(
            Function<DirectoryCaller, CompletableFuture<List<String>>> addresses,
            Duration timeToLive,
            String failureDomainParameter) {
        mAddresses = addresses;
        mTimeToLive = timeToLive;
        mFailureDomainParameter = failureDomainParameter;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        mAddresses
                .apply(callerOf(request))
                .thenAccept(addresses -> respond(JsonResponse.of(response, callback), addresses));
        return true;
    }

    private DirectoryCaller callerOf(Request request) {
        String domain = Request.extractQueryParameters(request).getValue(mFailureDomainParameter);
        return new DirectoryCaller(
                Request.getRemoteAddr(request),
                domain == null || domain.isEmpty() ? null : new FailureDomain(domain));
    }

    private void respond(JsonResponse jsonResponse, List<String> addresses) {
        if (addresses.isEmpty()) {
            // Either no address is known, or the ring of the routing duty is full.
            jsonResponse.refuse(Refusal.notRun(ErrorMessage.NO_AUTHORITY));
            return;
        }
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        addresses.forEach(body.putArray("addresses")::add);
        body.put("ttlS", mTimeToLive.toSeconds());
        jsonResponse.send(body);
    }
}
